package directory

import (
	"encoding/json"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
)

const (
	// maxRememberedEntries bounds the entries that are known to be logged.
	maxRememberedEntries = 1024
	// maxLoggedEntryBytes is how much of an entry is logged.
	maxLoggedEntryBytes = 200
)

// SkippedEntries counts the entries of the list that name no runner, and logs each
// of them once. It is safe for concurrent use.
type SkippedEntries struct {
	log   *log.Logger
	set   *metrics.Set
	total *metrics.Counter

	mu sync.Mutex
	// logged holds the hashes of entries that were logged.
	logged map[uint64]struct{}
}

// NewSkippedEntries returns an empty SkippedEntries.
func NewSkippedEntries(logger *log.Logger) *SkippedEntries {
	set := metrics.NewSet()
	return &SkippedEntries{
		log: logger, set: set, total: set.NewCounter("damask_directory_list_entries_skipped_total"),
		logged: map[uint64]struct{}{},
	}
}

// Record counts an entry that names no runner for the given reason.
func (s *SkippedEntries) Record(raw json.RawMessage, reason error) {
	s.total.Inc()
	if !s.isNew(xxhash.Sum64(raw)) {
		return
	}
	s.log.Warn().Err(reason).Int("bytes", len(raw)).Bytes("entry", raw[:min(len(raw), maxLoggedEntryBytes)]).
		Msg("directory: an entry of the list of runners names no runner to use")
}

func (s *SkippedEntries) isNew(hash uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.logged[hash]; known {
		return false
	}
	if len(s.logged) >= maxRememberedEntries {
		clear(s.logged)
	}
	s.logged[hash] = struct{}{}
	return true
}

// Total returns the number of entries that were counted.
func (s *SkippedEntries) Total() uint64 { return s.total.Get() }

// WriteMetrics writes the counter in the Prometheus text format.
func (s *SkippedEntries) WriteMetrics(w io.Writer) { s.set.WritePrometheus(w) }
