package audit

import (
	"bytes"
	"errors"
	"io"
	"sort"

	"damaskbridge.example/damaskbridge/ids"
)

// eachBatch calls visit with each batch in buf, which holds the bytes of the
// range.
func eachBatch(buf []byte, location segmentRange, visit func(*encodedBatch) error) error {
	r := bytes.NewReader(buf)
	for offset := location.from; ; {
		f, err := readFrame(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &CorruptError{Path: location.path, Offset: offset, Detail: err.Error()}
		}
		offset += f.size
		if f.kind != frameBatch {
			continue
		}
		b, err := f.batch()
		if err != nil {
			return &CorruptError{Path: location.path, Offset: offset, Detail: err.Error()}
		}
		if err := visit(b); err != nil {
			return err
		}
	}
}

// Merge combines the entries that several control VMs returned: each record
// once, ordered by session, batch and position. A batch whose acknowledgement
// was lost is stored on two control VMs.
func Merge(lists ...[]Entry) []Entry {
	type key struct {
		session  ids.SessionID
		batch    uint64
		position uint32
	}
	seen := make(map[key]struct{})
	var all []Entry
	for _, list := range lists {
		for _, e := range list {
			k := key{e.Record.Request.Session, e.Batch, e.Position}
			if _, ok := seen[k]; ok {
				continue
			}
			seen[k] = struct{}{}
			all = append(all, e)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return less(&all[i], &all[j]) })
	return all
}

func less(a, b *Entry) bool {
	if a.Record.Request.Session != b.Record.Request.Session {
		return a.Record.Request.Session.String() < b.Record.Request.Session.String()
	}
	if a.Batch != b.Batch {
		return a.Batch < b.Batch
	}
	return a.Position < b.Position
}
