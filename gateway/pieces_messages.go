package gateway

import (
	"damaskbridge.example/damaskbridge/batch"
)

// piecesCall asks the VM that assembles the calls of a service to run the
// pieces of one stage of a request.
type piecesCall struct {
	Service string   `cbor:"1,keyasint"`
	Request string   `cbor:"2,keyasint"`
	Stage   int      `cbor:"3,keyasint"`
	Key     string   `cbor:"4,keyasint,omitempty"`
	Inputs  []string `cbor:"5,keyasint,omitempty"`
	// Items holds the indexes of the pieces.
	Items       []int `cbor:"6,keyasint"`
	ResultBytes int64 `cbor:"7,keyasint"`
	// DueMS is the time until the results are due, LeftMS the time until they are
	// no longer useful, both in ms.
	DueMS  int64 `cbor:"8,keyasint"`
	LeftMS int64 `cbor:"9,keyasint"`
	// YieldMS is how long the pieces yield to others that are due, in ms.
	YieldMS int64 `cbor:"10,keyasint,omitempty"`
	// Forwarded is set if the assembler of another zone has forwarded the call.
	// It is then not forwarded again.
	Forwarded bool `cbor:"11,keyasint,omitempty"`
	// Producers lists the producers of the inputs, in the order of the inputs.
	Producers []inputProducer `cbor:"12,keyasint,omitempty"`
	// Zone is the data centre whose runners are to run the pieces. A VM of the
	// release before sends none; the answering VM then uses the one it prefers.
	Zone string `cbor:"13,keyasint,omitempty"`
	// AllowedRegions are the regions in which the pieces may be run. If there are
	// none, all are allowed.
	AllowedRegions []string `cbor:"14,keyasint,omitempty"`
}

// pool returns the runners that are to run the pieces.
func (c *piecesCall) pool() poolKey { return poolKey{c.Service, c.Zone} }

// inputProducer is the producer of Count consecutive inputs of a stage.
type inputProducer struct {
	Service string `cbor:"1,keyasint"`
	Runner  string `cbor:"2,keyasint"`
	// Assembler is the address of the VM that accounts the producer's memory.
	Assembler string `cbor:"3,keyasint"`
	Count     int    `cbor:"4,keyasint"`
}

// addProducer records the producer of the next input.
func (c *piecesCall) addProducer(m inputProducer) {
	m.Count = 1
	if n := len(c.Producers); n > 0 {
		last := &c.Producers[n-1]
		if last.Service == m.Service && last.Runner == m.Runner && last.Assembler == m.Assembler {
			last.Count++
			return
		}
	}
	c.Producers = append(c.Producers, m)
}

// piecesReply holds the results in the order of piecesCall.Items.
type piecesReply struct {
	Results []pieceResult `cbor:"1,keyasint"`
	// DelayMS is the current delay of pieces at the answering VM, in ms.
	DelayMS int64 `cbor:"2,keyasint"`
}

type pieceResult struct {
	Handle string       `cbor:"1,keyasint,omitempty"`
	Runner string       `cbor:"2,keyasint,omitempty"`
	Reason batch.Reason `cbor:"3,keyasint,omitempty"`
	// Assembler is set if the result belongs to a VM other than the answering
	// one.
	Assembler string `cbor:"4,keyasint,omitempty"`
}

// freeCall reports that results are no longer needed.
type freeCall struct {
	Service string   `cbor:"1,keyasint"`
	Runner  string   `cbor:"2,keyasint"`
	Handles []string `cbor:"3,keyasint"`
	// Fetched reports that the next stage has fetched the results but may still
	// fail. They are freed only if their runner is short of memory.
	Fetched bool `cbor:"4,keyasint,omitempty"`

	assembler string
}
