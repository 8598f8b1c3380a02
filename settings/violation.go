package settings

import (
	"fmt"
	"strings"
)

// maxViolations is the maximum number of violations that one validation reports.
const maxViolations = 20

// Violation describes one violation of the validation rules.
type Violation struct {
	// Subject is the invalid branch or resource, such as `pipeline "x"`.
	Subject string
	// Key is the invalid settings key or resource field; it may be empty.
	Key    string
	Detail string
	Remedy string
}

// Error returns the subject, the key, the detail and the remedy.
func (v *Violation) Error() string {
	if v.Key == "" {
		return fmt.Sprintf("%s: %s; %s", v.Subject, v.Detail, v.Remedy)
	}
	return fmt.Sprintf("%s, %s: %s; %s", v.Subject, v.Key, v.Detail, v.Remedy)
}

// Violations is a list of violations as one error.
type Violations []*Violation

// Error returns one violation per line.
func (l Violations) Error() string {
	lines := make([]string, len(l))
	for i, v := range l {
		lines[i] = v.Error()
	}
	return strings.Join(lines, "\n")
}

func (l *Violations) add(subject, key, remedy, format string, args ...any) {
	if len(*l) >= maxViolations {
		return
	}
	*l = append(*l, &Violation{Subject: subject, Key: key, Remedy: remedy, Detail: fmt.Sprintf(format, args...)})
}

func branchSubject(branch string) string {
	if branch == "" {
		return "root branch"
	}
	return fmt.Sprintf("branch %q", branch)
}

func resourceSubject(kind, name string) string {
	return fmt.Sprintf("%s %q", kind, name)
}
