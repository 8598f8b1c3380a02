package documentcheck

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
)

// Exit statuses of Run.
const (
	Clean    = 0
	Findings = 1
	Unread   = 2
	Refused  = 3
)

// Format is the form of a deployment's documents.
type Format struct {
	// Decode is what a control VM decides with.
	Decode directory.Decode
	// Members is the type that a document is decoded into. OthersRead holds, by type,
	// the members that it lacks because other programs read them.
	Members    reflect.Type
	OthersRead map[reflect.Type][]string
}

// Report is the result of a check.
type Report struct {
	// Refused says why a control VM would refuse the document, "" if it would not.
	Refused  string            `json:"refused,omitempty"`
	Findings []catalog.Finding `json:"findings"`
	// Changes are the differences from the document in force, if that was given.
	Changes []catalog.Change `json:"changes,omitempty"`
}

// Check checks a document. inForce may be nil. It returns an error if that is not
// valid.
func Check(f *Format, body, inForce []byte) (*Report, error) {
	report := &Report{Findings: []catalog.Finding{}}
	decoded, err := f.Decode(body)
	if err != nil {
		report.Refused = err.Error()
		return report, nil
	}
	report.Findings = append(report.Findings, catalog.Review(decoded)...)
	report.Findings = append(report.Findings, f.unreadMembers(body)...)
	if inForce == nil {
		return report, nil
	}
	before, err := f.Decode(inForce)
	if err != nil {
		return nil, fmt.Errorf("documentcheck: the document to compare with is not valid: %w", err)
	}
	report.Changes = catalog.Compare(before, decoded)
	if decoded.Version <= before.Version {
		report.Findings = append(report.Findings, catalog.Finding{
			Kind: catalog.NeverUsed, Subject: "the document",
			Reason: fmt.Sprintf("its version %d is not above %d, which is in force", decoded.Version, before.Version), Remedy: "raise the version",
		})
	}
	return report, nil
}

// Run checks the document in a file and writes the report, as JSON if asJSON is true.
// against is the file or address of the document in force, "" for none. It returns
// the exit status.
func Run(f *Format, path, against string, asJSON bool, out, errOut io.Writer) int {
	report, err := checkFiles(f, path, against)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return Unread
	}
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(report)
	} else {
		report.print(out)
	}
	switch {
	case report.Refused != "":
		return Refused
	case len(report.Findings) > 0:
		return Findings
	}
	return Clean
}

func checkFiles(f *Format, path, against string) (*Report, error) {
	body, err := read(path)
	if err != nil {
		return nil, err
	}
	if against == "" {
		return Check(f, body, nil)
	}
	inForce, err := read(against)
	if err != nil {
		return nil, err
	}
	return Check(f, body, inForce)
}

func (r *Report) print(out io.Writer) {
	if r.Refused != "" {
		fmt.Fprintln(out, "refused:", r.Refused)
		return
	}
	for _, f := range r.Findings {
		fmt.Fprintf(out, "%s: %s\n", f.Kind, f)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(out, "differs: %s\n", c)
	}
	fmt.Fprintf(out, "valid, %d findings, %d differences\n", len(r.Findings), len(r.Changes))
}
