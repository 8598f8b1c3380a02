package audit

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/internal/cbormode"
)

const (
	// maxBatchRecords is the maximum number of records in a batch.
	maxBatchRecords = 1 << 16
	// maxRecordBytes is the maximum size of an encoded record.
	maxRecordBytes = 64 << 10
	// maxBatchBytes is the maximum total size of a batch's encoded records.
	maxBatchBytes = 16 << 20
)

// storedRecord is a record as stored in a batch. It has no session, because the
// batch carries it.
type storedRecord struct {
	Seq uint64 `cbor:"1,keyasint"`
	Record
}

// encodedBatch is a batch on the wire and on disk. Records stay encoded, so
// that a control VM stores and hashes the bytes that the entry VM sent.
type encodedBatch struct {
	Session ids.SessionID `cbor:"1,keyasint"`
	Number  uint64        `cbor:"2,keyasint"`
	// Packed holds Records compressed. pack and unpack derive one from the
	// other.
	Packed  []byte            `cbor:"3,keyasint"`
	Records []cbor.RawMessage `cbor:"-"`
}

// pack sets Packed from Records.
func (e *encodedBatch) pack() error {
	packed, err := pack(e.Records)
	e.Packed = packed
	return err
}

// unpack sets Records from Packed.
func (e *encodedBatch) unpack() error {
	records, err := unpack(e.Packed)
	e.Records = records
	return err
}

var (
	encMode = cbormode.Deterministic
	decMode = cbormode.Must(cbor.DecOptions{
		MaxArrayElements: maxBatchRecords,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

func encodeRecord(r *Record) (cbor.RawMessage, error) {
	b, err := encMode.Marshal(storedRecord{Seq: r.Request.Seq, Record: *r})
	if err != nil {
		return nil, fmt.Errorf("audit: encode record: %w", err)
	}
	if len(b) > maxRecordBytes {
		return nil, fmt.Errorf("audit: the record of request %s has %d bytes and the limit is %d; shorten its detail", r.Request, len(b), maxRecordBytes)
	}
	return b, nil
}

func decodeRecord(session ids.SessionID, raw []byte) (Record, error) {
	var s storedRecord
	if err := decMode.Unmarshal(raw, &s); err != nil {
		return Record{}, fmt.Errorf("audit: decode record: %w", err)
	}
	if s.Kind < Begin || s.Kind > End {
		return Record{}, fmt.Errorf("audit: decode record: kind %d does not exist", s.Kind)
	}
	s.Request = ids.RequestID{Session: session, Seq: s.Seq}
	return s.Record, nil
}

func encodeBatch(session ids.SessionID, b *Batch) (*encodedBatch, error) {
	e := &encodedBatch{Session: session, Number: b.Number, Records: make([]cbor.RawMessage, 0, len(b.Records))}
	for i := range b.Records {
		if b.Records[i].Request.Session != session {
			return nil, fmt.Errorf("audit: a record of request %s is in a batch of session %s; send it in a batch of its own session", b.Records[i].Request, session)
		}
		raw, err := encodeRecord(&b.Records[i])
		if err != nil {
			return nil, err
		}
		e.Records = append(e.Records, raw)
	}
	if err := e.validate(); err != nil {
		return nil, err
	}
	return e, e.pack()
}

// validate returns an error if the batch exceeds a limit or could not be
// decoded again.
func (e *encodedBatch) validate() error {
	if e.Number == 0 || e.Session.VM == "" {
		return fmt.Errorf("audit: batch %d of session %q is invalid: a batch needs a number from 1 and a session", e.Number, e.Session)
	}
	if len(e.Records) == 0 || len(e.Records) > maxBatchRecords {
		return fmt.Errorf("audit: batch %d of session %s has %d records; send 1 to %d", e.Number, e.Session, len(e.Records), maxBatchRecords)
	}
	if n := e.recordBytes(); n > maxBatchBytes {
		return fmt.Errorf("audit: batch %d of session %s has %d bytes and the limit is %d; send smaller batches", e.Number, e.Session, n, maxBatchBytes)
	}
	for _, raw := range e.Records {
		if len(raw) > maxRecordBytes {
			return fmt.Errorf("audit: a record of session %s has %d bytes and the limit is %d", e.Session, len(raw), maxRecordBytes)
		}
		if _, err := decodeRecord(e.Session, raw); err != nil {
			return err
		}
	}
	return nil
}

func (e *encodedBatch) entry(position int) (Entry, error) {
	r, err := decodeRecord(e.Session, e.Records[position])
	return Entry{Record: r, Batch: e.Number, Position: uint32(position)}, err
}
