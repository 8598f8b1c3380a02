package upstream

import (
	"context"
	"net/netip"
	"slices"
	"strings"
)

// Member is one entry of the platform's membership list.
type Member struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Pool    string `json:"pool"`
	Region  string `json:"region"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// MemberList is the platform's membership list. It lags behind the actual members.
type MemberList struct {
	Seq      uint64   `json:"seq"`
	AtUnixMS int64    `json:"at_unix_ms"`
	Members  []Member `json:"members"`
}

// Members fetches the list from url ("http://ip:port/members") and removes its
// invalid members.
func (c *Client) Members(ctx context.Context, url string) (MemberList, error) {
	addr, path, _ := strings.Cut(strings.TrimPrefix(url, "http://"), "/")
	var l MemberList
	if err := c.getJSON(ctx, addr, "/"+path, &l); err != nil {
		return MemberList{}, err
	}
	l.removeInvalid()
	return l, nil
}

// removeInvalid removes members without a pool or whose address is not ip:port.
// The address becomes part of a URL, where other text could select another path or
// host. The other members are kept, so that one invalid entry does not hide which
// VMs are leaving.
func (l *MemberList) removeInvalid() {
	l.Members = slices.DeleteFunc(l.Members, func(m Member) bool {
		at, err := netip.ParseAddrPort(m.Address)
		return err != nil || at.Port() == 0 || at.Addr().Zone() != "" || m.Pool == ""
	})
}
