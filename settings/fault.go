package settings

import (
	"fmt"
	"strings"
)

// maxFaults is the number of faults that one validation reports.
const maxFaults = 20

// Fault is one reason why a tree is not valid.
type Fault struct {
	// Subject is what is wrong: a branch, or a resource such as `pipeline "x"`.
	Subject string
	// Key is the key or the field of the subject.
	Key    string
	Detail string
	Remedy string
}

// Error names the subject, the key, the fault and the remedy.
func (f *Fault) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("%s: %s; %s", f.Subject, f.Detail, f.Remedy)
	}
	return fmt.Sprintf("%s, %s: %s; %s", f.Subject, f.Key, f.Detail, f.Remedy)
}

// Faults is a list of faults, as an error.
type Faults []*Fault

// Error gives one fault on each line.
func (l Faults) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

func (l *Faults) add(subject, key, remedy, format string, args ...any) {
	if len(*l) >= maxFaults {
		return
	}
	*l = append(*l, &Fault{Subject: subject, Key: key, Remedy: remedy, Detail: fmt.Sprintf(format, args...)})
}

func branchSubject(branch string) string {
	if branch == "" {
		return "root branch"
	}
	return fmt.Sprintf("branch %q", branch)
}

func subject(kind, name string) string {
	return fmt.Sprintf("%s %q", kind, name)
}
