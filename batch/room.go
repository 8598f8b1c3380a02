package batch

// Free forgets results that nobody needs.
func (a *Assembler) Free(runner string, handles []string) {
	w := a.workers[runner]
	if w == nil {
		return
	}
	for _, h := range handles {
		w.forget(h)
	}
}

// Freed notes that a runner has dropped results before their users have ended.
func (a *Assembler) Freed(runner string, handles []string) {
	w := a.workers[runner]
	if w == nil {
		return
	}
	for _, h := range handles {
		w.free(h)
	}
}

// Kept gives those of a runner's results that were not freed, with those that
// are not known here.
func (a *Assembler) Kept(runner string, handles []string) []string {
	w := a.workers[runner]
	if w == nil {
		return handles
	}
	var kept []string
	for _, h := range handles {
		if !w.results[h].freed {
			kept = append(kept, h)
		}
	}
	return kept
}

// IsShort says that a runner lacks the memory for another full call.
func (a *Assembler) IsShort(runner string) bool {
	w := a.workers[runner]
	if w == nil || a.spec.RoomBytes == 0 {
		return false
	}
	free := int64(roomShare*float64(a.spec.RoomBytes)) - w.room
	return free < int64(max(a.spec.Batch, 1))*w.resultBytes
}

// Room gives the memory that a runner's results are taken to use, in bytes.
func (a *Assembler) Room(runner string) int64 {
	if w := a.workers[runner]; w != nil {
		return w.room
	}
	return 0
}
