package catalog

// Document is a published catalog as its operator sent it. Body is never
// changed after it was made.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	Body    []byte `cbor:"2,keyasint"`
}

// Held is the replicated holder of the document in force. The first document
// of a version wins; a lower or equal version changes nothing.
type Held struct {
	document *Document
}

// Document gives the document in force, nil before the first.
func (h *Held) Document() *Document { return h.document }

// Publish puts d in force if its version is the highest so far.
func (h *Held) Publish(d *Document) {
	if h.document == nil || d.Version > h.document.Version {
		h.document = d
	}
}
