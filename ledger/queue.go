package ledger

import "bytes"

// due is one settled entry and the time from which on it may be removed.
type due struct {
	at   int64
	slot slot
}

// queue is a binary heap of settled entries by due time. Equal times are
// ordered by key id, so that all replicas remove the same entries first.
type queue struct {
	items []due
}

func (q *queue) push(s *slab, d due) {
	q.items = append(q.items, d)
	q.up(s, len(q.items)-1)
}

func (q *queue) first() (due, bool) {
	if len(q.items) == 0 {
		return due{}, false
	}
	return q.items[0], true
}

// pop removes the first item of a queue that is not empty.
func (q *queue) pop(s *slab) { q.removeAt(s, 0) }

// drop removes the item of a slot by a search through the whole queue. Only
// the release of an unknown key needs it, which is rare.
func (q *queue) drop(s *slab, i slot) {
	for at, d := range q.items {
		if d.slot == i {
			q.removeAt(s, at)
			return
		}
	}
}

func (q *queue) removeAt(s *slab, i int) {
	last := len(q.items) - 1
	q.items[i] = q.items[last]
	q.items = q.items[:last]
	if i == last {
		return
	}
	q.down(s, i)
	q.up(s, i)
}

func (q *queue) up(s *slab, i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.less(s, i, parent) {
			return
		}
		q.items[i], q.items[parent] = q.items[parent], q.items[i]
		i = parent
	}
}

func (q *queue) down(s *slab, i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.items); child++ {
			if q.less(s, child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.items[i], q.items[least] = q.items[least], q.items[i]
		i = least
	}
}

func (q *queue) less(s *slab, a, b int) bool {
	x, y := q.items[a], q.items[b]
	if x.at != y.at {
		return x.at < y.at
	}
	return bytes.Compare(s.at(x.slot).id[:], s.at(y.slot).id[:]) < 0
}
