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

// printTable prints rows with aligned columns. The first row is the header.
func (inv *invocation) printTable(rows [][]string) error {
	w := tabwriter.NewWriter(inv.Stdout, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (inv *invocation) printJSON(v any) error {
	e := json.NewEncoder(inv.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// applyOutput is the JSON output of apply.
type applyOutput struct {
	ID string `json:"id"`
	admin.ChangeReply
	InEffect *admin.InEffectReply `json:"in_effect,omitempty"`
}

func (inv *invocation) printApplied(id string, reply admin.ChangeReply, inEffect *admin.InEffectReply) error {
	if inv.json {
		return inv.printJSON(applyOutput{ID: id, ChangeReply: reply, InEffect: inEffect})
	}
	fmt.Fprintf(inv.Stdout, "change %s is %s, version %d\n", id, reply.State, reply.Version)
	if reply.Detail != "" {
		fmt.Fprintln(inv.Stdout, reply.Detail)
	}
	if inEffect != nil {
		fmt.Fprintf(inv.Stdout, "version %d is in effect on every entry VM\n", inEffect.InEffect)
	}
	if len(reply.Ops) == 0 {
		return nil
	}
	return inv.printTable(opRows(reply.Ops))
}

func (inv *invocation) printDiff(reply admin.DiffReply) error {
	if inv.json {
		return inv.printJSON(reply)
	}
	if len(reply.Ops) == 0 {
		fmt.Fprintf(inv.Stdout, "no difference from version %d\n", reply.Base)
		return nil
	}
	fmt.Fprintf(inv.Stdout, "%d operations on version %d\n", len(reply.Ops), reply.Base)
	return inv.printTable(opRows(reply.Ops))
}

// opRows returns the table rows of the operations, with a header.
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

func (inv *invocation) printEffective(reply admin.EffectiveReply) error {
	if inv.json {
		return inv.printJSON(reply)
	}
	rows := [][]string{{"KEY", "VALUE", "UNIT", "FROM", "VERSION"}}
	for _, v := range reply.Values {
		from, version := "/"+v.Branch, fmt.Sprint(v.Version)
		if v.Default {
			from, version = "default", "-"
		}
		rows = append(rows, []string{string(v.Key), v.Value, string(v.Unit), from, version})
	}
	return inv.printTable(rows)
}

func (inv *invocation) printKeySpecs(specs []settings.Spec) error {
	if inv.json {
		return inv.printJSON(specs)
	}
	rows := [][]string{{"KEY", "UNIT", "DEFAULT", "ALLOWED", "BRANCH"}}
	for _, s := range specs {
		branch := "any"
		if s.RootOnly {
			branch = "root only"
		}
		rows = append(rows, []string{string(s.Key), string(s.Unit), s.Default, s.Allowed(), branch})
	}
	return inv.printTable(rows)
}

func (inv *invocation) printHistory(reply admin.HistoryReply) error {
	if inv.json {
		return inv.printJSON(reply)
	}
	rows := [][]string{{"VERSION", "TIME", "OPERATOR", "ID", "OPERATIONS"}}
	for _, c := range reply.Changes {
		at := time.UnixMilli(c.AtUnixMS).UTC().Format(time.RFC3339)
		rows = append(rows, []string{fmt.Sprint(c.Version), at, c.Operator, c.ID, summarizeOps(c.Ops)})
	}
	return inv.printTable(rows)
}

// summarizeOps returns the first operation and the number of the remaining ones.
func summarizeOps(ops []settings.Op) string {
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

func (inv *invocation) printStatus(s admin.Status) error {
	if inv.json {
		return inv.printJSON(s)
	}
	fmt.Fprintf(inv.Stdout, "asked %s; leader %s in term %d; version %d, in effect %d; ledger %d keys, %d claimed, %d tombstones\n\n",
		s.VM, s.Leader, s.Term, s.Version, s.InEffect, s.LedgerEntries, s.LedgerClaimed, s.LedgerTombstones)
	rows := [][]string{{"CONTROL VM", "REGION", "ROLE", "INDEX", "SILENT"}}
	for _, c := range sortedByVM(s.Control, func(c admin.ControlStatus) ids.VMID { return c.VM }) {
		rows = append(rows, []string{string(c.VM), string(c.Region), c.Role, matchIndex(&c), formatMillis(c.SinceLastMessageMS)})
	}
	rows = append(rows, nil, []string{"ENTRY VM", "REGION", "INCARNATION", "VERSION", "LEASE", "STATE"})
	for _, e := range sortedByVM(s.Entries, func(e admin.EntryStatus) ids.VMID { return e.VM }) {
		rows = append(rows, []string{string(e.VM), string(e.Region), fmt.Sprint(e.Incarnation), fmt.Sprint(e.SettingsVersion), formatMillis(e.LeaseMS), entryState(&e)})
	}
	return inv.printTable(rows)
}

// sortedByVM returns a copy of list sorted by VM name.
func sortedByVM[T any](list []T, vm func(T) ids.VMID) []T {
	return slices.SortedStableFunc(slices.Values(list), func(a, b T) int { return cmp.Compare(vm(a), vm(b)) })
}

// matchIndex returns the last log index that a follower has synced. The leader
// reports none for itself.
func matchIndex(c *admin.ControlStatus) string {
	if c.Role == "leader" {
		return "-"
	}
	return fmt.Sprint(c.MatchIndex)
}

// entryState returns whether an entry VM admits requests. One without a lease
// rejects them, whatever it last reported.
func entryState(e *admin.EntryStatus) string {
	switch {
	case e.LeaseMS <= 0:
		return "lease-expired"
	case e.Draining:
		return "draining"
	}
	return "serving"
}

func formatMillis(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

func (inv *invocation) printAudit(reply admin.AuditReply) error {
	if !reply.Complete {
		fmt.Fprintf(inv.Stderr, "damaskctl: these control VMs could not be asked, so records may be missing: %v\n", reply.Missing)
	}
	if inv.json {
		return inv.printJSON(reply)
	}
	for _, record := range reply.Records {
		fmt.Fprintln(inv.Stdout, string(record))
	}
	return nil
}
