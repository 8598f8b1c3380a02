package gateway

import (
	"damaskbridge.example/damaskbridge/batch"
)

// piecesCall asks the VM that assembles the calls of a service for the pieces
// of one stage of one request.
type piecesCall struct {
	Service string   `cbor:"1,keyasint"`
	Request string   `cbor:"2,keyasint"`
	Stage   int      `cbor:"3,keyasint"`
	Key     string   `cbor:"4,keyasint,omitempty"`
	Inputs  []string `cbor:"5,keyasint,omitempty"`
	// Items are the numbers of the pieces.
	Items       []int `cbor:"6,keyasint"`
	ResultBytes int64 `cbor:"7,keyasint"`
	// DueMS and LeftMS are the times until the results are wanted and until
	// they are of no use, in ms.
	DueMS  int64 `cbor:"8,keyasint"`
	LeftMS int64 `cbor:"9,keyasint"`
	// YieldMS is how long the pieces give way to others that are due, in ms.
	YieldMS int64 `cbor:"10,keyasint,omitempty"`
	// Forwarded says that another zone's assembler has passed the call on.
	Forwarded bool `cbor:"11,keyasint,omitempty"`
	// Makers say who made the inputs, in their order.
	Makers []inputMaker `cbor:"12,keyasint,omitempty"`
}

// inputMaker made some of the inputs of a stage that follow each other.
type inputMaker struct {
	Service string `cbor:"1,keyasint"`
	Runner  string `cbor:"2,keyasint"`
	// Assembler is the address of the VM that accounts the maker's memory.
	Assembler string `cbor:"3,keyasint"`
	Count     int    `cbor:"4,keyasint"`
}

// addMaker adds the maker of one more input.
func (c *piecesCall) addMaker(m inputMaker) {
	m.Count = 1
	if n := len(c.Makers); n > 0 {
		last := &c.Makers[n-1]
		if last.Service == m.Service && last.Runner == m.Runner && last.Assembler == m.Assembler {
			last.Count++
			return
		}
	}
	c.Makers = append(c.Makers, m)
}

// piecesReply has the results in the order of the items.
type piecesReply struct {
	Results []pieceResult `cbor:"1,keyasint"`
	// DelayMS is the time that pieces take at this VM now, in ms.
	DelayMS int64 `cbor:"2,keyasint"`
}

type pieceResult struct {
	Handle string       `cbor:"1,keyasint,omitempty"`
	Runner string       `cbor:"2,keyasint,omitempty"`
	Reason batch.Reason `cbor:"3,keyasint,omitempty"`
	// Assembler is set if another VM than the answering one had it made.
	Assembler string `cbor:"4,keyasint,omitempty"`
}

// freeCall says that results are of no more use.
type freeCall struct {
	Service string   `cbor:"1,keyasint"`
	Runner  string   `cbor:"2,keyasint"`
	Handles []string `cbor:"3,keyasint"`
	// Fetched says that the results were fetched by the next stage, which may
	// still fail: they are freed only if their maker is short of memory.
	Fetched bool `cbor:"4,keyasint,omitempty"`

	assembler string
}
