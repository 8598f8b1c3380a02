package catalog

// Document is a published catalog as sent by the operator. Body must not be
// changed.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	Body    []byte `cbor:"2,keyasint"`
}

// ActiveDocument is the replicated state that holds the document in force. The
// first document of a version wins: publishing the same or a lower version has
// no effect.
type ActiveDocument struct {
	document *Document
}

// Document returns the document in force, nil before the first.
func (a *ActiveDocument) Document() *Document { return a.document }

// Publish puts d in force if its version is higher than the present one.
func (a *ActiveDocument) Publish(d *Document) {
	if a.document == nil || d.Version > a.document.Version {
		a.document = d
	}
}
