package audit

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/transport"
)

// appendMessage is the body of transport.MethodAuditAppend. Exactly one field
// is set.
type appendMessage struct {
	Batch *encodedBatch `cbor:"1,keyasint,omitempty"`
	Held  *heldMessage  `cbor:"2,keyasint,omitempty"`
	Chunk *Chunk        `cbor:"3,keyasint,omitempty"`
}

// heldMessage asks what the receiver has of a source's segments.
type heldMessage struct {
	Source ids.VMID `cbor:"1,keyasint"`
}

// queryMessage is the body of transport.MethodAuditQuery.
type queryMessage struct {
	Request ids.RequestID `cbor:"1,keyasint"`
	// WholeSession asks for all records of the request's session.
	WholeSession bool `cbor:"2,keyasint,omitempty"`
	// AfterBatch pages through a session: only later batches are wanted.
	AfterBatch uint64 `cbor:"3,keyasint,omitempty"`
	// Copies asks for the copies of other control VMs' records, too. They are
	// read from end to end, which takes long.
	Copies bool `cbor:"4,keyasint,omitempty"`
}

// queryReply answers a queryMessage.
type queryReply struct {
	Entries []wireEntry `cbor:"1,keyasint"`
	// More says that the session has later batches than those in Entries.
	More bool `cbor:"2,keyasint,omitempty"`
}

// wireEntry is an Entry with the request id that a Record itself leaves out.
type wireEntry struct {
	Request  ids.RequestID `cbor:"1,keyasint"`
	Record   Record        `cbor:"2,keyasint"`
	Batch    uint64        `cbor:"3,keyasint"`
	Position uint32        `cbor:"4,keyasint"`
}

func toWire(entries []Entry) []wireEntry {
	out := make([]wireEntry, 0, len(entries))
	for _, e := range entries {
		out = append(out, wireEntry{e.Record.Request, e.Record, e.Batch, e.Position})
	}
	return out
}

func fromWire(entries []wireEntry) []Entry {
	out := make([]Entry, 0, len(entries))
	for _, w := range entries {
		w.Record.Request = w.Request
		out = append(out, Entry{w.Record, w.Batch, w.Position})
	}
	return out
}

// decodeMessage reads a message and checks its batch, if it has one.
func decodeMessage(body []byte) (appendMessage, error) {
	var m appendMessage
	if err := decMode.Unmarshal(body, &m); err != nil {
		return m, fmt.Errorf("audit: decode message: %w", err)
	}
	if m.Batch == nil {
		return m, nil
	}
	if err := m.Batch.open(); err != nil {
		return m, err
	}
	return m, m.Batch.check()
}

// ServeAppend answers transport.MethodAuditAppend. An entry VM may write
// records of its own sessions only, and only a control VM may store copies,
// which copies takes; copies may be nil.
func (s *Store) ServeAppend(ctx context.Context, from transport.Peer, body []byte, copies *CopyDir) ([]byte, error) {
	m, err := decodeMessage(body)
	if err != nil {
		return nil, err
	}
	switch {
	case m.Batch != nil:
		if from.VM != m.Batch.Session.VM {
			return nil, fmt.Errorf("audit: VM %s sent records of session %s; a VM writes its own sessions only", from.VM, m.Batch.Session)
		}
		return nil, s.append(m.Batch)
	case copies == nil || from.Role != transport.RoleControl:
		return nil, fmt.Errorf("audit: VM %s with role %q may not store copies here", from.VM, from.Role)
	case m.Held != nil:
		held, err := copies.Held(ctx, m.Held.Source)
		if err != nil {
			return nil, err
		}
		return encMode.Marshal(held)
	case m.Chunk != nil:
		return nil, copies.Put(ctx, *m.Chunk)
	default:
		return nil, fmt.Errorf("audit: the message from %s is empty", from.VM)
	}
}

// pageEntries bounds the records in one answer to a session query.
const pageEntries = 20_000

// ServeQuery answers transport.MethodAuditQuery for control VMs and operators
// from this store alone.
func (s *Store) ServeQuery(from transport.Peer, body []byte) ([]byte, error) {
	return s.ServeQueryCopies(from, body, nil)
}

// ServeQueryCopies does what ServeQuery does and searches the copies that this
// VM keeps of others' records, too: all if the caller asks for it, else those of
// stores that may be lost.
func (s *Store) ServeQueryCopies(from transport.Peer, body []byte, copies *CopyDir) ([]byte, error) {
	if from.Role == transport.RoleEntry {
		return nil, fmt.Errorf("audit: VM %s with role %q may not read the audit log", from.VM, from.Role)
	}
	var m queryMessage
	if err := decMode.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("audit: decode query: %w", err)
	}
	reply, err := s.answer(m, copies)
	if err != nil {
		return nil, err
	}
	return encMode.Marshal(reply)
}

func (s *Store) answer(m queryMessage, copies *CopyDir) (queryReply, error) {
	all, err := s.find(m)
	if err != nil {
		return queryReply{}, err
	}
	if copies != nil {
		copied, err := copies.find(m)
		if err != nil {
			return queryReply{}, err
		}
		all = append(all, copied...)
	}
	page := Merge(all)
	cut := len(page)
	if cut > pageEntries {
		cut = wholeBatches(page, pageEntries)
	}
	return queryReply{Entries: toWire(page[:cut]), More: cut < len(page)}, nil
}

func (s *Store) find(m queryMessage) ([]Entry, error) {
	if !m.WholeSession {
		return s.Query(m.Request)
	}
	var all []Entry
	err := s.Session(m.Request.Session, func(e Entry) {
		if m.wants(&e) {
			all = append(all, e)
		}
	})
	return all, err
}

// wants says whether an entry belongs to the answer.
func (m *queryMessage) wants(e *Entry) bool {
	if e.Record.Request.Session != m.Request.Session || e.Batch <= m.AfterBatch {
		return false
	}
	return m.WholeSession || e.Record.Request.Seq == m.Request.Seq
}

// wholeBatches gives the first index from limit on at which a batch begins.
func wholeBatches(entries []Entry, limit int) int {
	for i := limit; i < len(entries); i++ {
		if entries[i].Batch != entries[i-1].Batch {
			return i
		}
	}
	return len(entries)
}

// Reader asks control VMs for records. It is safe for concurrent use.
type Reader struct {
	Caller transport.Caller
	Addrs  []string
}

// Query merges the records of one request from all control VMs. If one does
// not answer, the copies that the others keep are searched as well. Missing
// lists the addresses that did not answer: the newest records that were stored
// there alone may be missing.
func (r *Reader) Query(ctx context.Context, id ids.RequestID) (entries []Entry, missing []string) {
	return r.collect(ctx, queryMessage{Request: id})
}

// Session merges the records of one session from all control VMs, as Query
// does.
func (r *Reader) Session(ctx context.Context, id ids.SessionID) (entries []Entry, missing []string) {
	return r.collect(ctx, queryMessage{Request: ids.RequestID{Session: id}, WholeSession: true})
}

func (r *Reader) collect(ctx context.Context, m queryMessage) (entries []Entry, missing []string) {
	entries, missing = r.collectOnce(ctx, m)
	if len(missing) == 0 {
		return entries, nil
	}
	m.Copies = true
	return r.collectOnce(ctx, m)
}

func (r *Reader) collectOnce(ctx context.Context, m queryMessage) (entries []Entry, missing []string) {
	var lists [][]Entry
	for _, addr := range r.Addrs {
		list, err := r.ask(ctx, addr, m)
		if err != nil {
			missing = append(missing, addr)
		}
		lists = append(lists, list)
	}
	return Merge(lists...), missing
}

func (r *Reader) ask(ctx context.Context, addr string, m queryMessage) ([]Entry, error) {
	var all []Entry
	for {
		body, err := encMode.Marshal(m)
		if err != nil {
			return all, err
		}
		answer, err := r.Caller.Call(ctx, addr, transport.MethodAuditQuery, body)
		if err != nil {
			return all, err
		}
		var reply queryReply
		if err := cbor.Unmarshal(answer, &reply); err != nil {
			return all, fmt.Errorf("audit: decode query reply: %w", err)
		}
		all = append(all, fromWire(reply.Entries)...)
		if !reply.More || len(reply.Entries) == 0 {
			return all, nil
		}
		m.AfterBatch = reply.Entries[len(reply.Entries)-1].Batch
	}
}
