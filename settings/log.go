package settings

// chunkLen is the number of items in a full chunk of a log.
const chunkLen = 256

// log is an immutable sequence that grows at its end and shrinks at its start.
// An append copies at most one chunk of pointers, so that older versions of
// the log stay valid for their readers.
type log[T any] struct {
	full [][]*T // chunks of chunkLen items
	tail []*T   // fewer than chunkLen items
	// skip is the number of removed items at the start.
	skip int
}

// newLog gives a log of the items.
func newLog[T any](items []*T) log[T] {
	var l log[T]
	for len(items) >= chunkLen {
		l.full = append(l.full, items[:chunkLen:chunkLen])
		items = items[chunkLen:]
	}
	l.tail = items
	return l
}

func (l log[T]) len() int {
	return len(l.full)*chunkLen + len(l.tail) - l.skip
}

// at gives item i, counted from the present start.
func (l log[T]) at(i int) *T {
	i += l.skip
	if chunk := i / chunkLen; chunk < len(l.full) {
		return l.full[chunk][i%chunkLen]
	}
	return l.tail[i-len(l.full)*chunkLen]
}

func (l log[T]) append(item *T) log[T] {
	tail := make([]*T, len(l.tail)+1)
	copy(tail, l.tail)
	tail[len(l.tail)] = item
	if len(tail) < chunkLen {
		return log[T]{full: l.full, tail: tail, skip: l.skip}
	}
	full := make([][]*T, len(l.full)+1)
	copy(full, l.full)
	full[len(l.full)] = tail
	return log[T]{full: full, skip: l.skip}
}

// dropFirst removes the first item of a log that is not empty.
func (l log[T]) dropFirst() log[T] {
	skip := l.skip + 1
	if skip < chunkLen || len(l.full) == 0 {
		return log[T]{full: l.full, tail: l.tail, skip: skip}
	}
	return log[T]{full: l.full[1:], tail: l.tail}
}
