package standin

import (
	"encoding/json"
	"net/http"
)

// maxAudit bounds the requests and keys of one audit call.
const maxAudit = 100_000

// FleetFault is the body of POST /fault of a fleet.
type FleetFault struct {
	Selector
	Fault
}

// AuditRequest is the body of POST /audit of a fleet: the request ids and keys
// to look up.
type AuditRequest struct {
	Requests []string `json:"requests"`
	Keys     []string `json:"keys"`
}

// AuditResponse says how many executions began for each request and how often
// each key executed. Those at 0 are left out.
type AuditResponse struct {
	Ran        map[string]int `json:"ran"`
	Executions map[string]int `json:"executions"`
}

// Audit looks up what really ran.
func (f *Fleet) Audit(q AuditRequest) AuditResponse {
	a := AuditResponse{Ran: map[string]int{}, Executions: map[string]int{}}
	for _, id := range q.Requests {
		if n := f.Ran(id); n > 0 {
			a.Ran[id] = n
		}
	}
	for _, key := range q.Keys {
		if n := f.Executions(key); n > 0 {
			a.Executions[key] = n
		}
	}
	return a
}

func (f *Fleet) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /members", f.members)
	mux.HandleFunc("GET /regions/{region}/members", f.serveRegionMembers)
	mux.HandleFunc("GET /links", f.serveLinks)
	mux.HandleFunc("POST /links", f.serveLinkChange)
	mux.HandleFunc("POST /fault", f.serveFault)
	mux.HandleFunc("POST /members/show", f.serveShow)
	mux.HandleFunc("GET /counters", f.serveCounters)
	mux.HandleFunc("POST /audit", f.serveAudit)
	mux.HandleFunc("GET /duplicates", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, append([]string{}, f.Duplicates()...))
	})
	return mux
}

func (f *Fleet) serveFault(w http.ResponseWriter, r *http.Request) {
	var req FleetFault
	if !decode(w, r, &req) {
		return
	}
	if err := f.Fault(req.Selector, req.Fault); err != nil {
		errorResponse(http.StatusBadRequest, "bad_fault", err.Error()).write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (f *Fleet) serveShow(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Percent int `json:"percent"`
	}
	if !decode(w, r, &req) {
		return
	}
	f.members.ShowPercent(req.Percent)
	w.WriteHeader(http.StatusNoContent)
}

// serveCounters returns the counts of each upstream by VM.
func (f *Fleet) serveCounters(w http.ResponseWriter, _ *http.Request) {
	all := map[string]Counters{}
	for _, u := range f.upstreams {
		all[string(u.VM)] = u.Counters()
	}
	writeJSON(w, http.StatusOK, all)
}

func (f *Fleet) serveAudit(w http.ResponseWriter, r *http.Request) {
	var req AuditRequest
	if !decode(w, r, &req) {
		return
	}
	if len(req.Requests)+len(req.Keys) > maxAudit {
		errorResponse(http.StatusBadRequest, "bad_request", "too many names in one call").write(w)
		return
	}
	writeJSON(w, http.StatusOK, f.Audit(req))
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		errorResponse(http.StatusBadRequest, "bad_request", err.Error()).write(w)
		return false
	}
	return true
}
