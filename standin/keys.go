package standin

import "sync"

// KeyCount counts executions for each key of a non-idempotent operation. The
// runners of one service share one. It only counts: a repeated key executes
// again, so that a duplicate dispatch shows. It is safe for concurrent use.
type KeyCount struct {
	mu      sync.Mutex
	counts  map[string]int
	tickets uint64
}

// NewKeyCount makes an empty count.
func NewKeyCount() *KeyCount {
	return &KeyCount{counts: map[string]int{}}
}

// execute counts one execution and gives the key's count and the ordinal of
// the execution. Calls without a key always count 1.
func (k *KeyCount) execute(key string) (executions int, ordinal uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tickets++
	if key == "" {
		return 1, k.tickets
	}
	k.counts[key]++
	return k.counts[key], k.tickets
}

// Executions returns how often a key has executed.
func (k *KeyCount) Executions(key string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts[key]
}

// Duplicates returns the keys that executed more than once.
func (k *KeyCount) Duplicates() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var keys []string
	for key, n := range k.counts {
		if n > 1 {
			keys = append(keys, key)
		}
	}
	return keys
}
