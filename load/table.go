package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

// WriteTable writes the report as tables for people.
func (p *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "seed %d, %.1f requests/s for %.1f s: %d requests, attainment %.4f\n", p.Seed, p.RatePerSecond, p.Seconds, p.Requests, p.Attainment)
	fmt.Fprintf(t, "tries %d, resumes %d, in progress %d, replayed %d, not_run checked %d, false %d, duplicates %d, lost keys %d\n\n",
		p.Tries, p.Resumes, p.InProgress, p.Replayed, p.CheckedRefusals, p.FalseRefusals, len(p.DuplicateKeys), len(p.LostKeys))
	p.writeOutcomes(t)
	p.writeKinds(t)
	p.writeParts(t, "workspace", p.Workspaces)
	p.writeParts(t, "entry", p.Entries)
	p.writeStages(t)
	for _, reason := range sorted(p.Reasons) {
		fmt.Fprintf(t, "reason %s\t%d\n", reason, p.Reasons[reason])
	}
	for _, note := range p.Notes {
		fmt.Fprintf(t, "note: %s\n", note)
	}
	return t.Flush()
}

func (p *Report) writeOutcomes(w io.Writer) {
	fmt.Fprintln(w, "outcome\trequests")
	for _, o := range Outcomes() {
		if n := p.Outcomes[o]; n > 0 {
			fmt.Fprintf(w, "%s\t%d\n", o, n)
		}
	}
	fmt.Fprintln(w)
}

func (p *Report) writeKinds(w io.Writer) {
	fmt.Fprintln(w, "kind\trequests\tattainment\tp50 ms\tp95 ms\tp99 ms\tmax ms\tfirst token p95\tinter token p95")
	names := make([]string, 0, len(p.Kinds))
	for k := range p.Kinds {
		names = append(names, string(k))
	}
	sort.Strings(names)
	for _, name := range names {
		k := p.Kinds[Kind(name)]
		fmt.Fprintf(w, "%s\t%d\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", name, k.Requests, k.Attainment,
			k.Latency.P50, k.Latency.P95, k.Latency.P99, k.Latency.Max, k.FirstToken.P95, k.InterToken.P95)
	}
	fmt.Fprintf(w, "generator lag\t%d\t\t%.1f\t%.1f\t%.1f\t%.1f\n\n", p.ScheduleLag.Count,
		p.ScheduleLag.P50, p.ScheduleLag.P95, p.ScheduleLag.P99, p.ScheduleLag.Max)
}

func (p *Report) writeParts(w io.Writer, title string, parts map[string]*PartSummary) {
	fmt.Fprintf(w, "%s\trequests\tattainment\n", title)
	for _, name := range sorted(parts) {
		fmt.Fprintf(w, "%s\t%d\t%.4f\n", name, parts[name].Requests, parts[name].Attainment)
	}
	fmt.Fprintln(w)
}

func (p *Report) writeStages(w io.Writer) {
	fmt.Fprintln(w, "stage\tcalls\tattempts\tcost units\tms\tother region")
	for _, name := range sorted(p.Stages) {
		s := p.Stages[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.1f\t%d\n", name, s.Calls, s.Attempts, s.CostUnits, s.Millis, s.OtherRegion)
	}
	fmt.Fprintf(w, "cross-region bytes\t%d\n\n", p.CrossRegionBytes)
}

func sorted[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
