package ctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// table writes rows with aligned columns; the first row is the heading.
func (r *run) table(rows [][]string) error {
	w := tabwriter.NewWriter(r.Stdout, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (r *run) printJSON(v any) error {
	e := json.NewEncoder(r.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// applied is the JSON output of apply.
type applied struct {
	ID string `json:"id"`
	admin.ChangeReply
	InEffect *admin.InEffectReply `json:"in_effect,omitempty"`
}

func (r *run) printApplied(id string, reply admin.ChangeReply, in *admin.InEffectReply) error {
	if r.json {
		return r.printJSON(applied{ID: id, ChangeReply: reply, InEffect: in})
	}
	fmt.Fprintf(r.Stdout, "change %s is %s, version %d\n", id, reply.State, reply.Version)
	if reply.Detail != "" {
		fmt.Fprintln(r.Stdout, reply.Detail)
	}
	if in != nil {
		fmt.Fprintf(r.Stdout, "version %d is in effect on every entry VM\n", in.InEffect)
	}
	if len(reply.Ops) == 0 {
		return nil
	}
	return r.table(opRows(reply.Ops))
}

func (r *run) printDiff(reply admin.DiffReply) error {
	if r.json {
		return r.printJSON(reply)
	}
	if len(reply.Ops) == 0 {
		fmt.Fprintf(r.Stdout, "no difference from version %d\n", reply.Base)
		return nil
	}
	fmt.Fprintf(r.Stdout, "%d operations on version %d\n", len(reply.Ops), reply.Base)
	return r.table(opRows(reply.Ops))
}

func opRows(ops []settings.Op) [][]string {
	rows := [][]string{{"OPERATION", "SUBJECT", "KEY", "VALUE"}}
	for i := range ops {
		rows = append(rows, opRow(&ops[i]))
	}
	return rows
}

func opRow(op *settings.Op) []string {
	switch op.Kind {
	case settings.SetValue, settings.UnsetValue:
		return []string{string(op.Kind), "/" + op.Branch, string(op.Key), op.Value}
	}
	name, value := op.Name, any(nil)
	switch {
	case op.Pool != nil:
		name, value = op.Pool.Name, op.Pool
	case op.Pipeline != nil:
		name, value = op.Pipeline.Name, op.Pipeline
	case op.Service != nil:
		name, value = op.Service.Name, op.Service
	case op.Workspace != nil:
		name, value = op.Workspace.Name, op.Workspace
	}
	if value == nil {
		return []string{string(op.Kind), name, "", ""}
	}
	b, err := json.Marshal(value)
	if err != nil {
		return []string{string(op.Kind), name, "", err.Error()}
	}
	return []string{string(op.Kind), name, "", string(b)}
}

func (r *run) printEffective(reply admin.EffectiveReply) error {
	if r.json {
		return r.printJSON(reply)
	}
	rows := [][]string{{"KEY", "VALUE", "UNIT", "FROM", "VERSION"}}
	for _, v := range reply.Values {
		from, version := "/"+v.Branch, fmt.Sprint(v.Version)
		if v.Default {
			from, version = "default", "-"
		}
		rows = append(rows, []string{string(v.Key), v.Value, string(v.Unit), from, version})
	}
	return r.table(rows)
}

func (r *run) printKeys(specs []settings.Spec) error {
	if r.json {
		return r.printJSON(specs)
	}
	rows := [][]string{{"KEY", "UNIT", "DEFAULT", "ALLOWED", "BRANCH"}}
	for _, s := range specs {
		branch := "any"
		if s.RootOnly {
			branch = "root only"
		}
		rows = append(rows, []string{string(s.Key), string(s.Unit), s.Default, s.Allowed(), branch})
	}
	return r.table(rows)
}

func (r *run) printHistory(reply admin.HistoryReply) error {
	if r.json {
		return r.printJSON(reply)
	}
	rows := [][]string{{"VERSION", "TIME", "OPERATOR", "ID", "OPERATIONS"}}
	for _, c := range reply.Changes {
		at := time.UnixMilli(c.AtUnixMS).UTC().Format(time.RFC3339)
		rows = append(rows, []string{fmt.Sprint(c.Version), at, c.Operator, c.ID, summary(c.Ops)})
	}
	return r.table(rows)
}

// summary gives the first operation and the number of the others.
func summary(ops []settings.Op) string {
	if len(ops) == 0 {
		return ""
	}
	row := opRow(&ops[0])
	first := strings.TrimSpace(strings.Join(row[:3], " "))
	if len(ops) == 1 {
		return first
	}
	return fmt.Sprintf("%s and %d more", first, len(ops)-1)
}

func (r *run) printStatus(s admin.Status) error {
	if r.json {
		return r.printJSON(s)
	}
	fmt.Fprintf(r.Stdout, "asked %s; leader %s in term %d; version %d, in effect %d; ledger %d keys, %d claimed, %d tombstones\n\n",
		s.VM, s.Leader, s.Term, s.Version, s.InEffect, s.LedgerEntries, s.LedgerClaimed, s.LedgerTombstones)
	rows := [][]string{{"CONTROL VM", "REGION", "ROLE", "INDEX", "SILENT"}}
	for _, c := range sortedBy(s.Control, func(c admin.ControlStatus) ids.VMID { return c.VM }) {
		rows = append(rows, []string{string(c.VM), string(c.Region), c.Role, matchOf(&c), milliseconds(c.SilentMS)})
	}
	rows = append(rows, nil, []string{"ENTRY VM", "REGION", "INCARNATION", "VERSION", "LEASE", "STATE"})
	for _, e := range sortedBy(s.Entries, func(e admin.EntryStatus) ids.VMID { return e.VM }) {
		rows = append(rows, []string{string(e.VM), string(e.Region), fmt.Sprint(e.Incarnation), fmt.Sprint(e.InForce), milliseconds(e.LeaseMS), stateOf(&e)})
	}
	return r.table(rows)
}

// sortedBy gives a copy of the list in the order of the VMs' names.
func sortedBy[T any](list []T, vm func(T) ids.VMID) []T {
	return slices.SortedStableFunc(slices.Values(list), func(a, b T) int { return cmp.Compare(vm(a), vm(b)) })
}

// matchOf gives a follower's last synced index. The leader reports none of its own.
func matchOf(c *admin.ControlStatus) string {
	if c.Role == "leader" {
		return "-"
	}
	return fmt.Sprint(c.Match)
}

// stateOf says whether an entry VM admits requests. One without a lease
// refuses them, whatever it reported last.
func stateOf(e *admin.EntryStatus) string {
	switch {
	case e.LeaseMS <= 0:
		return "lease-expired"
	case e.Draining:
		return "draining"
	}
	return "serving"
}

func milliseconds(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

func (r *run) printAudit(reply admin.AuditReply) error {
	if !reply.Complete {
		fmt.Fprintf(r.Stderr, "damaskctl: these control VMs could not be asked, so records may be missing: %v\n", reply.Missing)
	}
	if r.json {
		return r.printJSON(reply)
	}
	for _, record := range reply.Records {
		fmt.Fprintln(r.Stdout, string(record))
	}
	return nil
}
