package load

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxNotes bounds the examples in a report.
const maxNotes = 12

// summary builds a report from records.
type summary struct {
	report  *Report
	lag     *hdrhistogram.Histogram
	latency map[Kind]*hdrhistogram.Histogram
	notes   map[Outcome]int
}

func (r *runner) report(elapsed time.Duration) *Report {
	s := &summary{
		report: &Report{
			Seed:          r.options.Seed,
			RatePerSecond: r.options.RatePerSecond,
			Seconds:       elapsed.Seconds(),
			Outcomes:      map[Outcome]int{},
			Reasons:       map[string]int{},
			Kinds:         map[Kind]*KindSummary{},
			Workspaces:    map[string]*PartSummary{},
			Entries:       map[string]*PartSummary{},
			Stages:        map[string]*StageSummary{},
			DuplicateKeys: []string{},
			LostKeys:      []string{},
		},
		lag:     newHistogram(),
		latency: map[Kind]*hdrhistogram.Histogram{},
		notes:   map[Outcome]int{},
	}
	sort.Slice(r.records, func(i, j int) bool { return r.records[i].request.index < r.records[j].request.index })
	for _, rec := range r.records {
		s.add(rec)
	}
	s.finish(r.client.measured)
	return s.report
}

func (s *summary) add(rec *record) {
	p := s.report
	p.Requests++
	p.Outcomes[rec.outcome]++
	p.Tries += len(rec.tries)
	p.InProgress += rec.inProgress
	p.CheckedRefusals += rec.checkedRefusals
	p.FalseRefusals += rec.falseRefusals
	observe(s.lag, rec.lag)
	last := rec.deciding()
	if last.problem != nil {
		p.Reasons[string(last.problem.Reason)]++
	}
	if rec.repeated {
		p.RepeatsChecked++
	}
	for _, t := range rec.tries {
		if t.replayed {
			p.Replayed++
		}
	}
	s.addKey(rec)
	s.addKind(rec)
	addPart(p.Workspaces, rec.request.workspace.Name, rec.outcome)
	addPart(p.Entries, entryName(last.entry), rec.outcome)
	s.addCost(last)
	s.addNote(rec)
}

func entryName(t *target) string {
	if t.Name != "" {
		return t.Name
	}
	return t.URL
}

func (s *summary) addKey(rec *record) {
	switch {
	case rec.outcome == Duplicate && rec.request.key != "":
		s.report.DuplicateKeys = append(s.report.DuplicateKeys, rec.request.key)
	case rec.outcome == Lost && rec.deciding().answered():
		s.report.LostKeys = append(s.report.LostKeys, rec.request.key)
	}
}

func (s *summary) addKind(rec *record) {
	k := rec.request.profile.Kind
	part := s.report.Kinds[k]
	if part == nil {
		part = &KindSummary{Outcomes: map[Outcome]int{}}
		s.report.Kinds[k] = part
	}
	part.Requests++
	part.Outcomes[rec.outcome]++
	if !rec.refused() {
		observeKind(s.latency, k, rec.latency)
	}
}

func addPart(parts map[string]*PartSummary, name string, o Outcome) {
	part := parts[name]
	if part == nil {
		part = &PartSummary{Outcomes: map[Outcome]int{}}
		parts[name] = part
	}
	part.Requests++
	part.Outcomes[o]++
}

// addCost adds the stages of the response that the request ended with.
func (s *summary) addCost(last result) {
	s.report.CrossRegionBytes += last.cross
	for _, stage := range last.stages {
		part := s.report.Stages[stage.Name]
		if part == nil {
			part = &StageSummary{}
			s.report.Stages[stage.Name] = part
		}
		part.Calls++
		part.Attempts += stage.Attempts
		part.CostUnits += stage.CostUnits
		part.Millis += stage.Millis
		if last.entry.Region != "" && stage.Region != string(last.entry.Region) {
			part.OtherRegion++
		}
	}
}

// addNote keeps a few examples of each class but OK.
func (s *summary) addNote(rec *record) {
	const perOutcome = 3
	if rec.outcome == OK || rec.note == "" || s.notes[rec.outcome] >= perOutcome || len(s.report.Notes) >= maxNotes {
		return
	}
	s.notes[rec.outcome]++
	s.report.Notes = append(s.report.Notes, string(rec.request.profile.Kind)+" "+string(rec.outcome)+": "+rec.note)
}

func (s *summary) finish(m *measures) {
	p := s.report
	p.Resumes = m.resumes
	p.ScheduleLag = percentiles(s.lag)
	p.Attainment = part(p.Outcomes[OK], p.Requests)
	for k, kind := range p.Kinds {
		kind.Attainment = part(kind.Outcomes[OK], kind.Requests)
		kind.Latency = percentiles(s.latency[k])
		kind.FirstToken = percentiles(m.firsts[k])
		kind.InterToken = percentiles(m.gaps[k])
	}
	for _, parts := range []map[string]*PartSummary{p.Workspaces, p.Entries} {
		for _, x := range parts {
			x.Attainment = part(x.Outcomes[OK], x.Requests)
		}
	}
}

func part(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}
