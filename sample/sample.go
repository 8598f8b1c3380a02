// Package sample describes complete deployments for a first try, for tests and
// for experiments: the simulated fleet, the operators' settings document, the
// workspaces with their tokens, and the mix of requests of a load.
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

// Deployment is one sample deployment.
type Deployment struct {
	Name       string
	Fleet      standin.FleetConfig
	Regions    []ids.Region
	Workspaces []load.Workspace
	Mix        []load.Profile

	generatePool string
	model        string
	// pipeline is the name of the four-stage pipeline, chat that of the
	// pipeline that only generates.
	pipeline string
	chat     string
	services []service
}

// service is a plain service of a deployment.
type service struct {
	name   string
	lookup string
	write  string
}

// stages of the pipelines, in order.
var (
	fourStages = []string{content.Encode, content.Retrieve, content.Rerank, content.Generate}
	oneStage   = []string{content.Generate}
)

// Named gives the deployment "guild", "nilegate" or "dev".
func Named(name string) (*Deployment, error) {
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

// complete fills in the fleet, the workspaces and the mix.
func (d *Deployment) complete(workspaces []string) (*Deployment, error) {
	fleet, err := standin.Preset(d.Name)
	if err != nil {
		return nil, err
	}
	d.Fleet = fleet
	d.Regions = fleet.Regions
	for i, name := range workspaces {
		d.Workspaces = append(d.Workspaces, load.Workspace{Name: name, Token: tokenOf(d.Name, name), Share: share(i)})
	}
	d.Mix = d.mix()
	return d, nil
}

// share makes the first workspaces large.
func share(i int) float64 {
	const large, small = 8, 1
	if i < 2 {
		return large
	}
	return small
}

// tokenOf gives a fixed token, so that a deployment can be used by hand.
func tokenOf(deployment, workspace string) string {
	return "dbw_sample-" + deployment + "-" + workspace
}

// mix is the load of a counter or field crew: answers, drafts, lookups,
// bookings, and long reports in the background.
func (d *Deployment) mix() []load.Profile {
	first := d.services[0]
	const wait = 5 * time.Second
	return []load.Profile{
		{Kind: load.KindPipeline, Weight: 20, Deadline: wait, Target: d.pipeline, Stages: fourStages, MaxTokens: 24, SharedPrefix: 8},
		{Kind: load.KindStream, Weight: 15, Deadline: wait, Target: d.pipeline, Stages: fourStages, MaxTokens: 32, SharedPrefix: 8},
		{Kind: load.KindChat, Weight: 10, Deadline: wait, Target: d.chat, Stages: oneStage, MaxTokens: 24},
		{Kind: load.KindChatStream, Weight: 10, Deadline: wait, Target: d.chat, Stages: oneStage, MaxTokens: 24},
		{Kind: load.KindLongReport, Weight: 2, Priority: "batch", Deadline: 30 * time.Second, Target: d.chat, Stages: oneStage, MaxTokens: 256},
		{Kind: load.KindLookup, Weight: 25, Priority: "interactive", Deadline: 2 * time.Second, Target: first.name, Op: first.lookup},
		{Kind: load.KindBooking, Weight: 12, Priority: "interactive", Deadline: wait, Target: first.name, Op: first.write},
		{Kind: load.KindRepeat, Weight: 4, Priority: "interactive", Deadline: wait, Target: first.name, Op: first.write},
	}
}

// Patient gives the mix with longer deadlines, for tests that check what comes
// back and must not depend on how busy the machine is.
func (d *Deployment) Patient() []load.Profile {
	const factor, longest = 4, 60 * time.Second
	mix := slices.Clone(d.Mix)
	for i := range mix {
		mix[i].Deadline = min(factor*mix[i].Deadline, longest)
	}
	return mix
}

// Document gives the operators' settings document in YAML.
func (d *Deployment) Document() string {
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
		fmt.Fprintf(&b, "  - {name: %s, pool: %s, repeatable_ops: [%s]}\n", s.name, s.name, s.lookup)
		names = append(names, s.name)
	}
	b.WriteString("workspaces:\n")
	for _, w := range d.Workspaces {
		fmt.Fprintf(&b, "  - {name: %s, branch: %s/%s, token_sha256: [%s], pipelines: [%s, %s], services: [%s]}\n",
			w.Name, d.Name, w.Name, keys.Digest(w.Token), d.pipeline, d.chat, strings.Join(names, ", "))
	}
	return b.String()
}
