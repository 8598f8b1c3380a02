package directory

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/internal/atomicfile"
	"damaskbridge.example/damaskbridge/quarantine"
	"damaskbridge.example/damaskbridge/wire"
)

const (
	quarantineFileMode = 0o600
	// recallTime is how long a control VM reports, from its start on, the parts that
	// were quarantined before. It covers the election of a leader, which takes them
	// over if it knows of no quarantine itself.
	recallTime = 30 * time.Second
	// quarantineRetryInterval is the time after which a failed write of the file is
	// repeated.
	quarantineRetryInterval = time.Second
)

// quarantineFile is the content of ServerOptions.QuarantineFile.
type quarantineFile struct {
	Parts []quarantine.Quarantined `cbor:"1,keyasint"`
}

// recallQuarantine returns the parts that were quarantined when this control VM
// last ran.
func (s *Server) recallQuarantine() []quarantine.Quarantined {
	if s.opts.QuarantineFile == "" {
		return nil
	}
	b, err := os.ReadFile(s.opts.QuarantineFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	var content quarantineFile
	if err == nil {
		err = wire.Decode(b, &content)
	}
	if err != nil {
		s.opts.Logger.Error().Err(err).Msg("directory: the kept quarantine cannot be read; going on without it")
		return nil
	}
	s.opts.Logger.Info().Int("parts", len(content.Parts)).Msg("directory: kept quarantine read")
	return content.Parts
}

// recalledReport returns the report with the recalled parts, nil if there are
// none or their time is over.
func (s *Server) recalledReport(now time.Time) *crashReport {
	if len(s.recalled) == 0 || now.After(s.recallUntil) {
		return nil
	}
	return &crashReport{VM: s.opts.Self, Report: quarantine.Report{Quarantined: s.recalled}}
}

// keepQuarantine writes the quarantined parts to the file whenever they change,
// until ctx ends. It waits for the disk, so nothing else may wait for it.
func (s *Server) keepQuarantine(ctx context.Context) {
	kept := s.recalled
	for {
		changed := s.lists.nextChange(entryVMChanges)
		var retry <-chan time.Time
		if parts := quarantine.NewKnown(s.lists.quarantined()).WithoutTrials(); s.lists.has(quarantineName) && !slices.Equal(parts, kept) {
			if err := s.writeQuarantine(parts); err != nil {
				s.opts.Logger.Error().Err(err).Msg("directory: the quarantine cannot be kept; it is tried again")
				retry = time.After(quarantineRetryInterval)
			} else {
				kept = parts
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-retry:
		}
	}
}

func (s *Server) writeQuarantine(parts []quarantine.Quarantined) error {
	b, err := wire.Encode(&quarantineFile{Parts: parts})
	if err != nil {
		return err
	}
	return atomicfile.Write(s.opts.QuarantineFile, b, quarantineFileMode)
}
