package standin

import (
	"fmt"
	"net/http"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/relay"
)

// crossings gives, for callers in a region, the addresses that lead over the
// links to the upstreams of other regions.
type crossings map[ids.Region]map[ids.VMID]string

// link opens a relay in each region to each upstream of the other regions.
func (f *Fleet) link() error {
	if f.config.Links == nil {
		return nil
	}
	f.network = relay.NewNetwork(f.config.Links.OneWayDelay, f.config.Links.BytesPerSecond)
	f.crossings = crossings{}
	for index, region := range f.config.Regions {
		f.crossings[region] = map[ids.VMID]string{}
		gateway := fmt.Sprintf("127.0.%d.1:0", index+1)
		for _, u := range f.upstreams {
			if u.Region == region {
				continue
			}
			r, err := f.network.ListenTCP(gateway, u.Address(), region, u.Region)
			if err != nil {
				return err
			}
			f.crossings[region][u.VM] = r.Addr()
		}
	}
	return nil
}

// RegionMembers returns the membership list for callers in one region.
func (f *Fleet) RegionMembers(region ids.Region) MemberList {
	list := f.members.List()
	over := f.crossings[region]
	shown := append([]Member{}, list.Members...)
	for i := range shown {
		if address, ok := over[shown[i].VM]; ok {
			shown[i].Address = address
		}
	}
	list.Members = shown
	return list
}

func (f *Fleet) serveRegionMembers(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, f.RegionMembers(ids.Region(r.PathValue("region"))))
}

// LinkReport is the traffic of one direction between two regions.
type LinkReport struct {
	From  ids.Region `json:"from"`
	To    ids.Region `json:"to"`
	Bytes int64      `json:"bytes"`
}

// LinkAction names what POST /links does.
type LinkAction string

// Actions on links.
const (
	LinkCut     LinkAction = "cut"
	LinkRestore LinkAction = "restore"
	LinkFreeze  LinkAction = "freeze"
)

// LinkChange is the body of POST /links: an action on the link between two
// regions, or on all links of one region where the other is empty.
type LinkChange struct {
	Action LinkAction `json:"action"`
	A      ids.Region `json:"a"`
	B      ids.Region `json:"b"`
}

func (f *Fleet) serveLinks(w http.ResponseWriter, _ *http.Request) {
	all := []LinkReport{}
	if f.network != nil {
		for p, n := range f.network.Bytes() {
			all = append(all, LinkReport{From: p.From, To: p.To, Bytes: n})
		}
	}
	writeJSON(w, http.StatusOK, all)
}

func (f *Fleet) serveLinkChange(w http.ResponseWriter, r *http.Request) {
	var c LinkChange
	if !decode(w, r, &c) {
		return
	}
	if err := f.ChangeLink(c); err != nil {
		errorResponse(http.StatusBadRequest, "bad_link", err.Error()).write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// ChangeLink acts on links.
func (f *Fleet) ChangeLink(c LinkChange) error {
	if f.network == nil {
		return fmt.Errorf("standin: fleet %s has no links; set links in its description", f.config.Name)
	}
	for _, other := range f.config.Regions {
		if other == c.A || (c.B != "" && other != c.B) {
			continue
		}
		switch c.Action {
		case LinkCut:
			f.network.Cut(c.A, other)
		case LinkRestore:
			f.network.Restore(c.A, other)
		case LinkFreeze:
			f.network.Freeze(c.A, other)
		default:
			return fmt.Errorf("standin: link action %q is not known; use cut, restore or freeze", c.Action)
		}
	}
	return nil
}
