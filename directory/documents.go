package directory

import (
	"sync"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/delta"
)

// maxOldDocuments is the number of earlier documents from which a control VM
// can send a patch.
const maxOldDocuments = 8

// documents holds the newest documents of a control VM and the patches between
// them. It is safe for concurrent use.
type documents struct {
	mu sync.Mutex
	// known holds documents in ascending order of their versions.
	known []*catalog.Document
	// patches holds the patches to the newest document by the version that they
	// start from.
	patches map[uint64]*documentPatch
}

func newDocuments() *documents { return &documents{patches: map[uint64]*documentPatch{}} }

// add records a document if it is newer than those known.
func (d *documents) add(doc *catalog.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.known); n > 0 && d.known[n-1].Version >= doc.Version {
		return
	}
	d.known = append(d.known, doc)
	if len(d.known) > maxOldDocuments+1 {
		d.known = d.known[1:]
	}
	clear(d.patches)
}

// patchFrom returns the patch from the document of a version to the newest one,
// or nil if that document is not known. Version 0 stands for no document.
func (d *documents) patchFrom(version uint64) (*documentPatch, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.patches[version]; p != nil {
		return p, nil
	}
	var base []byte
	found := version == 0
	for _, doc := range d.known {
		if doc.Version == version {
			base, found = doc.Body, true
		}
	}
	if !found || len(d.known) == 0 {
		return nil, nil
	}
	newest := d.known[len(d.known)-1]
	body, err := delta.NewPatch(base, newest.Body)
	if err != nil {
		return nil, err
	}
	p := &documentPatch{Version: newest.Version, Body: *body}
	d.patches[version] = p
	return p, nil
}
