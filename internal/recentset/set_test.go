package recentset

import (
	"testing"
	"time"
)

// TestAdd guards against keys that are forgotten too early, or never.
func TestAdd(t *testing.T) {
	const memory = time.Minute
	var s Set
	now := time.Now()
	for _, step := range []struct {
		after time.Duration
		key   string
		isNew bool
	}{
		{0, "a", true}, {memory, "a", false}, {memory + 1, "b", true}, {memory + 2, "a", false}, {4 * memory, "c", true}, {6 * memory, "b", true},
	} {
		if got := s.Add(now.Add(step.after), step.key, memory); got != step.isNew {
			t.Errorf("after %v, %q is new: %v", step.after, step.key, got)
		}
	}
	if kept := len(s.current) + len(s.previous); kept > 2 {
		t.Errorf("%d keys are kept", kept)
	}
}
