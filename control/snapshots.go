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
	"damaskbridge.example/damaskbridge/wal"
	"damaskbridge.example/damaskbridge/wire"
)

const (
	// snapshotChunkBytes bounds one chunk of a transfer, so that heartbeats on
	// the same slow link are not delayed for long.
	snapshotChunkBytes = 256 << 10
	chunkTimeout       = 10 * time.Second
	// transferCacheTTL is how long an encoded snapshot is kept after the last
	// request for a chunk.
	transferCacheTTL = 30 * time.Second
	// maxTransferRestarts bounds how often newer snapshots restart a transfer.
	maxTransferRestarts = 8
)

// maybeSnapshot stores a snapshot in the background once enough has been
// applied since the last one: a number of entries, and as many bytes as the
// last snapshot has. The second condition keeps the cost of snapshots in
// proportion to that of the commands as the state grows.
func (r *Replica) maybeSnapshot() {
	if r.savingSnapshot || r.applied-r.snapshotIndex < r.opts.SnapshotEntries || r.appliedBytes < r.snapshotBytes || time.Now().Before(r.snapshotRetryAt) {
		return
	}
	encode, err := r.captureState()
	if err != nil {
		r.fail(fmt.Errorf("control: snapshot the state machine: %w", err))
		return
	}
	s := r.node.SnapshotMetadata(r.applied)
	appliedBytes := r.appliedBytes
	r.savingSnapshot, r.snapshotIndex, r.appliedBytes = true, s.Index, 0
	r.background.Go(func() {
		data, err := encode()
		if err == nil {
			s.Data = data
			err = r.log.SaveSnapshot(s)
		}
		s.Data = nil
		r.post(func() {
			r.savingSnapshot = false
			if wal.IsFull(err) {
				r.postponeSnapshot(err, appliedBytes)
				return
			}
			r.finishSnapshot(s, int64(len(data)), err)
		})
	})
}

// captureState returns a function that encodes the current state and may run on
// another goroutine.
func (r *Replica) captureState() (encode func() ([]byte, error), err error) {
	if r.opts.Freeze != nil {
		return r.opts.Freeze(), nil
	}
	data, err := r.opts.Machine.Snapshot()
	return func() ([]byte, error) { return data, nil }, err
}

// post runs f on the replica's goroutine unless the replica stops first.
func (r *Replica) post(f func()) {
	select {
	case r.tasks <- f:
	case <-r.ctx.Done():
	}
}

// finishSnapshot discards the log entries that the snapshot covers. Half a
// snapshot interval of entries stays in memory for followers that are slightly
// behind.
func (r *Replica) finishSnapshot(s raft.Snapshot, size int64, err error) {
	r.snapshotBytes = size
	if err == nil {
		err = r.compact(s.Index)
	}
	if err != nil {
		r.fail(err)
		return
	}
	r.counters.snapshotsStored.Inc()
	retained := r.opts.SnapshotEntries / 2
	r.node.SnapshotStored(s, s.Index-min(retained, s.Index))
}

// restoreSnapshot replaces the state machine's state.
func (r *Replica) restoreSnapshot(s *raft.Snapshot) error {
	if err := r.opts.Machine.Restore(s.Data); err != nil {
		return fmt.Errorf("control: restore the snapshot at index %d: %w", s.Index, err)
	}
	r.applied, r.snapshotIndex = s.Index, max(r.snapshotIndex, s.Index)
	r.appliedBytes, r.snapshotBytes = 0, int64(len(s.Data))
	r.counters.snapshotsRestored.Inc()
	r.opts.Logger.Info().Uint64("index", s.Index).Msg("control: restored a snapshot from the leader")
	return r.compact(s.Index)
}

// fetchSnapshot fetches the data of an offered snapshot in the background and
// then steps the message again with the data.
func (r *Replica) fetchSnapshot(m raft.Message) {
	if r.fetchingSnapshot {
		return
	}
	r.fetchingSnapshot = true
	r.background.Go(func() {
		s, err := r.downloadSnapshot(m)
		if err != nil {
			r.opts.Logger.Warn().Err(err).Msg("control: snapshot transfer failed; the leader will offer it again")
		}
		r.post(func() {
			r.fetchingSnapshot = false
			if err == nil && !r.paused() {
				m.Snapshot = s
				_ = r.node.Step(m)
			}
		})
	})
}

func (r *Replica) downloadSnapshot(m raft.Message) (*raft.Snapshot, error) {
	addr := r.addresses.addr(m.From.VM)
	var data []byte
	req := snapshotRequest{Group: r.opts.Group, Index: m.Snapshot.Index}
	for restarts := 0; restarts < maxTransferRestarts; {
		chunk, err := r.downloadChunk(addr, req)
		if err != nil {
			return nil, err
		}
		if chunk.Index != req.Index {
			req.Index, req.Offset, data = chunk.Index, 0, nil
			restarts++
			continue
		}
		data = append(data, chunk.Data...)
		req.Offset = uint64(len(data))
		if req.Offset >= chunk.Total {
			return decodeSnapshot(data, chunk.Digest)
		}
		if len(chunk.Data) == 0 {
			return nil, errors.New("the transfer ended before the snapshot was complete")
		}
	}
	return nil, errors.New("the snapshot was replaced too often during the transfer")
}

func (r *Replica) downloadChunk(addr string, req snapshotRequest) (*snapshotReply, error) {
	body, err := wire.Encode(&req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.ctx, chunkTimeout)
	defer cancel()
	b, err := r.opts.Caller.Call(ctx, addr, transport.MethodSnapshot, body)
	if err != nil {
		return nil, err
	}
	var chunk snapshotReply
	return &chunk, wire.Decode(b, &chunk)
}

func decodeSnapshot(data []byte, digest uint64) (*raft.Snapshot, error) {
	if xxhash.Sum64(data) != digest {
		return nil, errors.New("the transferred snapshot does not match its digest")
	}
	var s raft.Snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	if s.Data == nil {
		// A snapshot message with nil data would be taken for an offer.
		s.Data = []byte{}
	}
	return &s, nil
}

// transferCache holds the encoded snapshot that followers are fetching.
type transferCache struct {
	mu      sync.Mutex
	index   uint64
	encoded []byte
	digest  uint64
	expiry  *time.Timer
}

// snapshotChunk answers a snapshotRequest.
func (r *Replica) snapshotChunk(req *snapshotRequest) (*snapshotReply, error) {
	cache := &r.transfer
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if newest := r.published.Load().snapshot; cache.encoded == nil || cache.index != req.Index && cache.index < newest {
		if err := r.loadTransferCache(); err != nil {
			return nil, err
		}
	}
	cache.expiry.Reset(transferCacheTTL)
	reply := &snapshotReply{Index: cache.index, Total: uint64(len(cache.encoded)), Digest: cache.digest}
	if cache.index == req.Index && req.Offset <= reply.Total {
		rest := cache.encoded[req.Offset:]
		reply.Data = rest[:min(len(rest), snapshotChunkBytes)]
	}
	return reply, nil
}

// loadTransferCache encodes the newest stored snapshot. It is called with
// transfer.mu held.
func (r *Replica) loadTransferCache() error {
	s, err := r.log.ReadSnapshot()
	if err != nil {
		return err
	}
	if s == nil {
		return errors.New("control: no snapshot has been stored yet")
	}
	encoded, err := cbor.Marshal(s)
	if err != nil {
		return err
	}
	cache := &r.transfer
	cache.index, cache.encoded, cache.digest = s.Index, encoded, xxhash.Sum64(encoded)
	if cache.expiry == nil {
		cache.expiry = time.AfterFunc(transferCacheTTL, r.clearTransferCache)
	}
	return nil
}

func (r *Replica) clearTransferCache() {
	r.transfer.mu.Lock()
	defer r.transfer.mu.Unlock()
	r.transfer.encoded = nil
}
