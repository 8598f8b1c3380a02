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
	Batch      *encodedBatch      `cbor:"1,keyasint,omitempty"`
	CopyStatus *copyStatusRequest `cbor:"2,keyasint,omitempty"`
	Chunk      *Chunk             `cbor:"3,keyasint,omitempty"`
}

// copyStatusRequest asks which segments of a source the receiver has.
type copyStatusRequest struct {
	Source ids.VMID `cbor:"1,keyasint"`
}

// queryMessage is the body of transport.MethodAuditQuery.
type queryMessage struct {
	Request ids.RequestID `cbor:"1,keyasint"`
	// WholeSession asks for all records of the request's session.
	WholeSession bool `cbor:"2,keyasint,omitempty"`
	// AfterBatch is the page token of a session query: only later batches are
	// returned.
	AfterBatch uint64 `cbor:"3,keyasint,omitempty"`
	// Copies extends the search to the copies of other control VMs' records.
	// This is slow, because copies have no index and are read completely.
	Copies bool `cbor:"4,keyasint,omitempty"`
}

// queryReply is the response to a queryMessage.
type queryReply struct {
	Entries []wireEntry `cbor:"1,keyasint"`
	// More says that the session has batches after those in Entries.
	More bool `cbor:"2,keyasint,omitempty"`
}

// wireEntry is an Entry on the wire. It carries the request id, which the
// encoding of Record omits.
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

// decodeMessage decodes a message and validates its batch, if it has one.
func decodeMessage(body []byte) (appendMessage, error) {
	var m appendMessage
	if err := decMode.Unmarshal(body, &m); err != nil {
		return m, fmt.Errorf("audit: decode message: %w", err)
	}
	if m.Batch == nil {
		return m, nil
	}
	if err := m.Batch.unpack(); err != nil {
		return m, err
	}
	return m, m.Batch.validate()
}

// ServeAppend handles transport.MethodAuditAppend. An entry VM may write
// records of its own sessions only. Only a control VM may store copies, in
// copies, which may be nil.
func (s *Store) ServeAppend(ctx context.Context, from transport.Peer, body []byte, copies *CopyDir) ([]byte, error) {
	m, err := decodeMessage(body)
	if err != nil {
		return nil, err
	}
	switch {
	case m.Batch != nil:
		if from.VM != m.Batch.Session.VM {
			return nil, fmt.Errorf("audit: VM %s sent records of session %s; a VM may write its own sessions only", from.VM, m.Batch.Session)
		}
		return nil, s.append(m.Batch)
	case copies == nil || from.Role != transport.RoleControl:
		return nil, fmt.Errorf("audit: VM %s with role %q may not store copies here", from.VM, from.Role)
	case m.CopyStatus != nil:
		status, err := copies.Status(ctx, m.CopyStatus.Source)
		if err != nil {
			return nil, err
		}
		return encMode.Marshal(status)
	case m.Chunk != nil:
		return nil, copies.Put(ctx, *m.Chunk)
	default:
		return nil, fmt.Errorf("audit: the message from %s is empty", from.VM)
	}
}

// pageEntries is the number of entries after which a reply to a session query
// ends with the current batch.
const pageEntries = 20_000

// ServeQuery handles transport.MethodAuditQuery for control VMs and operators.
// It searches this store only.
func (s *Store) ServeQuery(from transport.Peer, body []byte) ([]byte, error) {
	return s.ServeQueryWithCopies(from, body, nil)
}

// ServeQueryWithCopies does what ServeQuery does and also searches the copies
// that this VM keeps for other control VMs: all of them if the caller asks for
// it, else those of stores that may be lost.
func (s *Store) ServeQueryWithCopies(from transport.Peer, body []byte, copies *CopyDir) ([]byte, error) {
	if from.Role == transport.RoleEntry {
		return nil, fmt.Errorf("audit: VM %s with role %q may not read the audit log", from.VM, from.Role)
	}
	var m queryMessage
	if err := decMode.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("audit: decode query: %w", err)
	}
	reply, err := s.runQuery(m, copies)
	if err != nil {
		return nil, err
	}
	return encMode.Marshal(reply)
}

func (s *Store) runQuery(m queryMessage, copies *CopyDir) (queryReply, error) {
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
	merged := Merge(all)
	end := len(merged)
	if end > pageEntries {
		end = nextBatchStart(merged, pageEntries)
	}
	return queryReply{Entries: toWire(merged[:end]), More: end < len(merged)}, nil
}

func (s *Store) find(m queryMessage) ([]Entry, error) {
	if !m.WholeSession {
		return s.Query(m.Request)
	}
	var all []Entry
	err := s.VisitSession(m.Request.Session, func(e Entry) {
		if m.matches(&e) {
			all = append(all, e)
		}
	})
	return all, err
}

// matches reports whether the query asks for an entry.
func (m *queryMessage) matches(e *Entry) bool {
	if e.Record.Request.Session != m.Request.Session || e.Batch <= m.AfterBatch {
		return false
	}
	return m.WholeSession || e.Record.Request.Seq == m.Request.Seq
}

// nextBatchStart returns the first index from limit on at which a batch begins.
func nextBatchStart(entries []Entry, limit int) int {
	for i := limit; i < len(entries); i++ {
		if entries[i].Batch != entries[i-1].Batch {
			return i
		}
	}
	return len(entries)
}

// Reader queries control VMs for records. It is safe for concurrent use.
type Reader struct {
	Caller transport.Caller
	Addrs  []string
}

// Query merges the records of one request from all control VMs. If one does not
// answer, the copies on the others are searched as well. Missing lists the
// addresses that did not answer; records that were not copied from there yet
// may be absent.
func (r *Reader) Query(ctx context.Context, id ids.RequestID) (entries []Entry, missing []string) {
	return r.collect(ctx, queryMessage{Request: id})
}

// Session merges the records of one session from all control VMs, as Query does
// for a request.
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
		list, err := r.queryAddr(ctx, addr, m)
		if err != nil {
			missing = append(missing, addr)
		}
		lists = append(lists, list)
	}
	return Merge(lists...), missing
}

func (r *Reader) queryAddr(ctx context.Context, addr string, m queryMessage) ([]Entry, error) {
	var all []Entry
	for {
		body, err := encMode.Marshal(m)
		if err != nil {
			return all, err
		}
		response, err := r.Caller.Call(ctx, addr, transport.MethodAuditQuery, body)
		if err != nil {
			return all, err
		}
		var reply queryReply
		if err := cbor.Unmarshal(response, &reply); err != nil {
			return all, fmt.Errorf("audit: decode query reply: %w", err)
		}
		all = append(all, fromWire(reply.Entries)...)
		if !reply.More || len(reply.Entries) == 0 {
			return all, nil
		}
		m.AfterBatch = reply.Entries[len(reply.Entries)-1].Batch
	}
}
