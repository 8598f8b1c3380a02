package evacuation

// Order starts or ends the evacuation of a data centre.
type Order struct {
	Zone  string `cbor:"1,keyasint"`
	Start bool   `cbor:"2,keyasint,omitempty"`
	// Revision is that of the data centre when the order was given. An order for
	// another revision has no effect, so that one that was held up cannot undo a
	// later one.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
}

// Outcome is the effect of an order.
type Outcome uint8

// Outcomes of orders.
const (
	// InForce means that the data centre is in the state that was ordered.
	InForce Outcome = iota
	// Outdated means that another order has changed the data centre meanwhile.
	Outdated
	// Unacceptable means that the order names no data centre or one too many.
	Unacceptable
)
