package settings

// chunkLen is the number of items in a full chunk of a persistentLog.
const chunkLen = 256

// persistentLog is an immutable sequence to which items are appended at the end
// and from which they are removed at the start. Both operations return a new
// log; an append copies the pointers of the last chunk and shares the others.
type persistentLog[T any] struct {
	fullChunks [][]*T // chunks of chunkLen items
	tail       []*T   // fewer than chunkLen items
	// skip is the number of items at the start that have been removed.
	skip int
}

// newPersistentLog returns a log of the items.
func newPersistentLog[T any](items []*T) persistentLog[T] {
	var l persistentLog[T]
	for len(items) >= chunkLen {
		l.fullChunks = append(l.fullChunks, items[:chunkLen:chunkLen])
		items = items[chunkLen:]
	}
	l.tail = items
	return l
}

func (l persistentLog[T]) len() int {
	return len(l.fullChunks)*chunkLen + len(l.tail) - l.skip
}

// at returns item i, counted from the current start.
func (l persistentLog[T]) at(i int) *T {
	i += l.skip
	if chunk := i / chunkLen; chunk < len(l.fullChunks) {
		return l.fullChunks[chunk][i%chunkLen]
	}
	return l.tail[i-len(l.fullChunks)*chunkLen]
}

func (l persistentLog[T]) append(item *T) persistentLog[T] {
	tail := make([]*T, len(l.tail)+1)
	copy(tail, l.tail)
	tail[len(l.tail)] = item
	if len(tail) < chunkLen {
		return persistentLog[T]{fullChunks: l.fullChunks, tail: tail, skip: l.skip}
	}
	full := make([][]*T, len(l.fullChunks)+1)
	copy(full, l.fullChunks)
	full[len(l.fullChunks)] = tail
	return persistentLog[T]{fullChunks: full, skip: l.skip}
}

// dropFirst returns a log without the first item. The log must not be empty.
func (l persistentLog[T]) dropFirst() persistentLog[T] {
	skip := l.skip + 1
	if skip < chunkLen || len(l.fullChunks) == 0 {
		return persistentLog[T]{fullChunks: l.fullChunks, tail: l.tail, skip: skip}
	}
	return persistentLog[T]{fullChunks: l.fullChunks[1:], tail: l.tail}
}
