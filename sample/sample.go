// Package sample describes complete deployments for demos, tests and
// experiments: the simulated fleet, the operators' settings document, the
// workspaces with their tokens, and the request mix of a load.
package sample

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/keys"
	"damaskbridge.example/damaskbridge/load"
	"damaskbridge.example/damaskbridge/standin"
	"damaskbridge.example/damaskbridge/standin/content"
)

// Deployment describes a sample deployment and the load that fits it.
type Deployment struct {
	Name       string
	Fleet      standin.FleetConfig
	Regions    []ids.Region
	Workspaces []load.Workspace
	Mix        []load.Profile

	// generatePool and model are those of the generate stage.
	generatePool string
	model        string
	// pipeline is the name of the four-stage pipeline, chat that of the
	// pipeline with only a generate stage.
	pipeline string
	chat     string
	services []service
}

// service is a service of a deployment with one repeatable read operation and
// one write operation. Its pool has its name.
type service struct {
	name    string
	readOp  string
	writeOp string
}

// The stage kinds of the pipelines, in order.
var (
	answerStages = []string{content.Encode, content.Retrieve, content.Rerank, content.Generate}
	chatStages   = []string{content.Generate}
)

// ByName returns the deployment "guild", "nilegate" or "dev".
func ByName(name string) (*Deployment, error) {
	switch name {
	case standin.PresetGuild:
		return guild()
	case standin.PresetNilegate:
		return nilegate()
	case standin.PresetDev:
		return dev()
	default:
		return nil, fmt.Errorf("deployment %q is not known; use guild, nilegate or dev", name)
	}
}

func guild() (*Deployment, error) {
	d := &Deployment{
		Name: standin.PresetGuild, generatePool: "drafting", model: "fitting-notes", pipeline: "answer", chat: "draft",
		services: []service{
			{"bookings", "lookup", "book"},
			{"membership", "lookup", "enroll"},
			{"returns", "lookup", "record"},
			{"notices", "lookup", "post"},
		},
	}
	return d.complete([]string{"weddings", "theatre", "film", "carnival", "school"})
}

func nilegate() (*Deployment, error) {
	d := &Deployment{
		Name: standin.PresetNilegate, generatePool: "language", model: "gate-reports", pipeline: "answer", chat: "report",
		services: []service{
			{"orders", "lookup", "order"},
			{"crew", "lookup", "assign"},
			{"parts", "lookup", "reserve"},
			{"billing", "lookup", "charge"},
		},
	}
	return d.complete([]string{"delta-crews", "upper-crews", "fayoum-crews", "district", "dispatch"})
}

func dev() (*Deployment, error) {
	d := &Deployment{
		Name: standin.PresetDev, generatePool: "engines", model: "dev-model", pipeline: "answer", chat: "draft",
		services: []service{{"bookings", "lookup", "book"}},
	}
	return d.complete([]string{"large", "small"})
}

// complete fills in the fleet, the regions, the workspaces and the mix of the
// deployment.
func (d *Deployment) complete(workspaces []string) (*Deployment, error) {
	fleet, err := standin.Preset(d.Name)
	if err != nil {
		return nil, err
	}
	d.Fleet = fleet
	d.Regions = fleet.Regions
	for i, name := range workspaces {
		d.Workspaces = append(d.Workspaces, load.Workspace{Name: name, Token: workspaceToken(d.Name, name), Share: loadShare(i)})
	}
	d.Mix = d.mix()
	return d, nil
}

// loadShare returns the relative share of the load of the i-th workspace. The
// first two get eight times that of the others, so that a load has large and
// small workspaces.
func loadShare(i int) float64 {
	const large, small = 8, 1
	if i < 2 {
		return large
	}
	return small
}

// workspaceToken returns the token of a workspace. It is fixed, so that a
// deployment can be called by hand.
func workspaceToken(deployment, workspace string) string {
	return "dbw_sample-" + deployment + "-" + workspace
}

// mix returns the request mix of counter staff or a field crew: answers, drafts,
// lookups, bookings, and long reports in the background.
func (d *Deployment) mix() []load.Profile {
	svc := d.services[0]
	const deadline = 5 * time.Second
	return []load.Profile{
		{Kind: load.KindPipeline, Weight: 20, Deadline: deadline, Target: d.pipeline, Stages: answerStages, MaxTokens: 24, SharedPrefix: 8},
		{Kind: load.KindStream, Weight: 15, Deadline: deadline, Target: d.pipeline, Stages: answerStages, MaxTokens: 32, SharedPrefix: 8},
		{Kind: load.KindChat, Weight: 10, Deadline: deadline, Target: d.chat, Stages: chatStages, MaxTokens: 24},
		{Kind: load.KindChatStream, Weight: 10, Deadline: deadline, Target: d.chat, Stages: chatStages, MaxTokens: 24},
		{Kind: load.KindLongReport, Weight: 2, Priority: "batch", Deadline: 30 * time.Second, Target: d.chat, Stages: chatStages, MaxTokens: 256},
		{Kind: load.KindLookup, Weight: 25, Priority: "interactive", Deadline: 2 * time.Second, Target: svc.name, Op: svc.readOp},
		{Kind: load.KindBooking, Weight: 12, Priority: "interactive", Deadline: deadline, Target: svc.name, Op: svc.writeOp},
		{Kind: load.KindRepeat, Weight: 4, Priority: "interactive", Deadline: deadline, Target: svc.name, Op: svc.writeOp},
	}
}

// RelaxedMix returns the mix with longer deadlines, for tests that check responses
// and must not depend on how busy the machine is.
func (d *Deployment) RelaxedMix() []load.Profile {
	const factor, maxDeadline = 4, 60 * time.Second
	mix := slices.Clone(d.Mix)
	for i := range mix {
		mix[i].Deadline = min(factor*mix[i].Deadline, maxDeadline)
	}
	return mix
}

// SettingsDocument returns the operators' settings document in YAML.
func (d *Deployment) SettingsDocument() string {
	var b strings.Builder
	b.WriteString("branches:\n  \"\":\n    deadline.default: 5s\n    deadline.max: 60s\n")
	b.WriteString("pools:\n")
	for _, p := range d.Fleet.Pools {
		fmt.Fprintf(&b, "  - {name: %s, kind: %s, checks_fencing: %t}\n", p.Name, p.Kind, p.ChecksFencing)
	}
	fmt.Fprintf(&b, "pipelines:\n  - name: %s\n    stages:\n", d.pipeline)
	b.WriteString("      - {name: encode, kind: encode, pool: encoders}\n")
	b.WriteString("      - {name: retrieve, kind: retrieve, pool: retrievers}\n")
	b.WriteString("      - {name: rerank, kind: rerank, pool: rerankers}\n")
	generate := fmt.Sprintf("      - {name: generate, kind: generate, pool: %s, model: %s}\n", d.generatePool, d.model)
	b.WriteString(generate)
	fmt.Fprintf(&b, "  - name: %s\n    stages:\n%s", d.chat, generate)
	b.WriteString("services:\n")
	names := make([]string, 0, len(d.services))
	for _, s := range d.services {
		fmt.Fprintf(&b, "  - {name: %s, pool: %s, repeatable_ops: [%s]}\n", s.name, s.name, s.readOp)
		names = append(names, s.name)
	}
	b.WriteString("workspaces:\n")
	for _, w := range d.Workspaces {
		fmt.Fprintf(&b, "  - {name: %s, branch: %s/%s, token_sha256: [%s], pipelines: [%s, %s], services: [%s]}\n",
			w.Name, d.Name, w.Name, keys.TokenDigest(w.Token), d.pipeline, d.chat, strings.Join(names, ", "))
	}
	return b.String()
}
