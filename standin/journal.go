package standin

import "sync"

// Journal records which attempts a simulator saw and which of them executed.
// It is safe for concurrent use.
type Journal struct {
	mu       sync.Mutex
	counters Counters
	// seen counts arrivals by attempt header.
	seen map[string]int
	// ran counts begun executions by request id.
	ran map[string]int
	// attempts counts begun executions by attempt header.
	attempts map[string]int
}

func newJournal() *Journal {
	j := &Journal{}
	j.Reset()
	return j
}

// Reset forgets everything.
func (j *Journal) Reset() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counters = Counters{}
	j.seen = map[string]int{}
	j.ran = map[string]int{}
	j.attempts = map[string]int{}
}

// Counters returns the counts so far.
func (j *Journal) Counters() Counters {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counters
}

// Seen returns how often an attempt arrived.
func (j *Journal) Seen(attempt string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.seen[attempt]
}

// Attempts returns the attempts that arrived, with their number of arrivals.
func (j *Journal) Attempts() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := make(map[string]int, len(j.seen))
	for a, n := range j.seen {
		all[a] = n
	}
	return all
}

// Ran returns how many executions began for a request.
func (j *Journal) Ran(request string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ran[request]
}

// AttemptRan returns how often an attempt's execution began.
func (j *Journal) AttemptRan(attempt string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.attempts[attempt]
}

func (j *Journal) arrive(attempt string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counters.Seen++
	if attempt != "" {
		j.seen[attempt]++
	}
}

func (j *Journal) begin(attempt string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counters.Executed++
	if attempt == "" {
		return
	}
	j.attempts[attempt]++
	if a, err := ParseAttempt(attempt); err == nil {
		j.ran[a.Request]++
	}
}

// update changes the counters under the journal's lock.
func (j *Journal) update(change func(*Counters)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(&j.counters)
}
