package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// kvExport is the body of GET and PUT /kv/{id}. The id is the hex hash of the
// last block of a prefix chain.
type kvExport struct {
	ID     string   `json:"id"`
	Blocks []string `json:"blocks"`
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			errorResponse(http.StatusBadRequest, "bad_request", "after must be a number").write(w)
			return
		}
		after = n
	}
	limit := e.Now().Add(-e.options.EventDelay)
	e.mu.Lock()
	events := e.cache.after(after, limit)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	hash, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		errorResponse(http.StatusBadRequest, "bad_request", "the id must be the hex hash of a block").write(w)
		return
	}
	e.mu.Lock()
	chain, ok := e.cache.chainOf(hash)
	e.mu.Unlock()
	if !ok {
		errorResponse(http.StatusNotFound, "not_found", "the prefix is not in the cache").write(w)
		return
	}
	export := kvExport{ID: id}
	for _, h := range chain {
		export.Blocks = append(export.Blocks, formatPrefix(h))
	}
	writeJSON(w, http.StatusOK, export)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var in kvExport
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Blocks) == 0 {
		errorResponse(http.StatusBadRequest, "bad_request", "the body must be an export").write(w)
		return
	}
	chain := make([]uint64, len(in.Blocks))
	for i, text := range in.Blocks {
		hash, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			errorResponse(http.StatusBadRequest, "bad_request", "blocks must be hex hashes").write(w)
			return
		}
		chain[i] = hash
	}
	if in.Blocks[len(in.Blocks)-1] != r.PathValue("id") {
		errorResponse(http.StatusBadRequest, "bad_request", "the id must be the last block").write(w)
		return
	}
	e.mu.Lock()
	e.cache.store(chain, e.Now())
	e.updateLoad()
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
