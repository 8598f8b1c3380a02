package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"damaskbridge.example/damaskbridge/raft"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

const (
	// snapshotChunkBytes bounds one part of a transfer, so that heartbeats on
	// the same slow link are not held up for long.
	snapshotChunkBytes = 256 << 10
	chunkTimeout       = 10 * time.Second
	// servedFor is how long an encoded snapshot is kept for the next part.
	servedFor = 30 * time.Second
	// maxTransferRestarts bounds how often newer snapshots restart a transfer.
	maxTransferRestarts = 8
)

// maybeSnapshot stores a snapshot in the background once enough is applied: a
// number of entries, and as many bytes as the last snapshot has, so that the
// cost of snapshots stays in proportion to that of the commands when the state
// grows.
func (r *Replica) maybeSnapshot() {
	if r.saving || r.applied-r.snapshotAt < r.opts.SnapshotEntries || r.appliedBytes < r.snapshotBytes {
		return
	}
	encode, err := r.freeze()
	if err != nil {
		r.fail(fmt.Errorf("control: snapshot of the state machine: %w", err))
		return
	}
	s := r.node.SnapshotAt(r.applied)
	r.saving, r.snapshotAt, r.appliedBytes = true, s.Index, 0
	r.helpers.Go(func() {
		data, err := encode()
		if err == nil {
			s.Data = data
			err = r.log.SaveSnapshot(s)
		}
		s.Data = nil
		r.post(func() { r.snapshotSaved(s, int64(len(data)), err) })
	})
}

// freeze gives a function that encodes the present state on another goroutine.
func (r *Replica) freeze() (encode func() ([]byte, error), err error) {
	if r.opts.Freeze != nil {
		return r.opts.Freeze(), nil
	}
	data, err := r.opts.Machine.Snapshot()
	return func() ([]byte, error) { return data, nil }, err
}

// post runs f on the replica's goroutine unless the replica ends first.
func (r *Replica) post(f func()) {
	select {
	case r.tasks <- f:
	case <-r.ctx.Done():
	}
}

// snapshotSaved forgets the entries that the snapshot covers. Half an interval
// of entries stays in memory for followers that are a little behind.
func (r *Replica) snapshotSaved(s raft.Snapshot, size int64, err error) {
	r.saving, r.snapshotBytes = false, size
	if err == nil {
		err = r.log.Compact(s.Index)
	}
	if err != nil {
		r.fail(err)
		return
	}
	r.count.snapshots.Inc()
	kept := r.opts.SnapshotEntries / 2
	r.node.SnapshotStored(s, s.Index-min(kept, s.Index))
}

// restore replaces the state machine's state.
func (r *Replica) restore(s *raft.Snapshot) error {
	if err := r.opts.Machine.Restore(s.Data); err != nil {
		return fmt.Errorf("control: restore the snapshot at index %d: %w", s.Index, err)
	}
	r.applied, r.snapshotAt = s.Index, max(r.snapshotAt, s.Index)
	r.appliedBytes, r.snapshotBytes = 0, int64(len(s.Data))
	r.count.snapshotsTaken.Inc()
	r.opts.Logger.Info().Uint64("index", s.Index).Msg("control: restored a snapshot from the leader")
	return r.log.Compact(s.Index)
}

// fetchSnapshot fetches the data of an offered snapshot in the background and
// steps the offer again with it.
func (r *Replica) fetchSnapshot(m raft.Message) {
	if r.fetching {
		return
	}
	r.fetching = true
	r.helpers.Go(func() {
		s, err := r.download(m)
		if err != nil {
			r.opts.Logger.Warn().Err(err).Msg("control: snapshot transfer failed; the leader offers it again")
		}
		r.post(func() {
			r.fetching = false
			if err == nil {
				m.Snapshot = s
				_ = r.node.Step(m)
			}
		})
	})
}

func (r *Replica) download(m raft.Message) (*raft.Snapshot, error) {
	addr := r.book.addr(m.From.VM)
	var data []byte
	call := snapshotCall{Group: r.opts.Group, Index: m.Snapshot.Index}
	for restarts := 0; restarts < maxTransferRestarts; {
		part, err := r.downloadPart(addr, call)
		if err != nil {
			return nil, err
		}
		if part.Index != call.Index {
			call.Index, call.Offset, data = part.Index, 0, nil
			restarts++
			continue
		}
		data = append(data, part.Data...)
		call.Offset = uint64(len(data))
		if call.Offset >= part.Total {
			return decodeTransfer(data, part.Digest)
		}
		if len(part.Data) == 0 {
			return nil, errors.New("the transfer ended early")
		}
	}
	return nil, errors.New("the snapshot was replaced too often during the transfer")
}

func (r *Replica) downloadPart(addr string, call snapshotCall) (*snapshotReply, error) {
	body, err := wire.Encode(&call)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.ctx, chunkTimeout)
	defer cancel()
	b, err := r.opts.Caller.Call(ctx, addr, transport.MethodSnapshot, body)
	if err != nil {
		return nil, err
	}
	var part snapshotReply
	return &part, wire.Decode(b, &part)
}

func decodeTransfer(data []byte, digest uint64) (*raft.Snapshot, error) {
	if xxhash.Sum64(data) != digest {
		return nil, errors.New("the transferred snapshot does not match its digest")
	}
	var s raft.Snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	if s.Data == nil {
		// A message without data is an offer.
		s.Data = []byte{}
	}
	return &s, nil
}

// servedSnapshot keeps the snapshot that followers are fetching.
type servedSnapshot struct {
	mu      sync.Mutex
	index   uint64
	encoded []byte
	digest  uint64
	expiry  *time.Timer
}

// snapshotPart answers a snapshotCall.
func (r *Replica) snapshotPart(call *snapshotCall) (*snapshotReply, error) {
	p := &r.served
	p.mu.Lock()
	defer p.mu.Unlock()
	if newest := r.published.Load().snapshot; p.encoded == nil || p.index != call.Index && p.index < newest {
		if err := r.loadServed(); err != nil {
			return nil, err
		}
	}
	p.expiry.Reset(servedFor)
	reply := &snapshotReply{Index: p.index, Total: uint64(len(p.encoded)), Digest: p.digest}
	if p.index == call.Index && call.Offset <= reply.Total {
		rest := p.encoded[call.Offset:]
		reply.Data = rest[:min(len(rest), snapshotChunkBytes)]
	}
	return reply, nil
}

// loadServed is called with the lock held.
func (r *Replica) loadServed() error {
	s, err := r.log.ReadSnapshot()
	if err != nil {
		return err
	}
	if s == nil {
		return errors.New("control: there is no snapshot yet")
	}
	encoded, err := cbor.Marshal(s)
	if err != nil {
		return err
	}
	p := &r.served
	p.index, p.encoded, p.digest = s.Index, encoded, xxhash.Sum64(encoded)
	if p.expiry == nil {
		p.expiry = time.AfterFunc(servedFor, r.dropServed)
	}
	return nil
}

func (r *Replica) dropServed() {
	r.served.mu.Lock()
	defer r.served.mu.Unlock()
	r.served.encoded = nil
}
