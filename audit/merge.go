package audit

import (
	"bytes"
	"errors"
	"io"
	"sort"

	"damaskbridge.example/damaskbridge/ids"
)

// eachBatch passes the batches in buf, which was read at p, to visit.
func eachBatch(buf []byte, p part, visit func(*encodedBatch) error) error {
	r := bytes.NewReader(buf)
	for at := p.from; ; {
		f, err := readFrame(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &CorruptError{Path: p.path, Offset: at, Detail: err.Error()}
		}
		at += f.size
		if f.kind != frameBatch {
			continue
		}
		b, err := f.batch()
		if err != nil {
			return &CorruptError{Path: p.path, Offset: at, Detail: err.Error()}
		}
		if err := visit(b); err != nil {
			return err
		}
	}
}

// Merge joins the records that several control VMs have of one or more
// sessions: each record once, ordered by session, batch and position. A batch
// whose acknowledgement was lost is on two control VMs.
func Merge(lists ...[]Entry) []Entry {
	type place struct {
		session  ids.SessionID
		batch    uint64
		position uint32
	}
	seen := make(map[place]struct{})
	var all []Entry
	for _, list := range lists {
		for _, e := range list {
			p := place{e.Record.Request.Session, e.Batch, e.Position}
			if _, ok := seen[p]; ok {
				continue
			}
			seen[p] = struct{}{}
			all = append(all, e)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return before(&all[i], &all[j]) })
	return all
}

func before(a, b *Entry) bool {
	if a.Record.Request.Session != b.Record.Request.Session {
		return a.Record.Request.Session.String() < b.Record.Request.Session.String()
	}
	if a.Batch != b.Batch {
		return a.Batch < b.Batch
	}
	return a.Position < b.Position
}
