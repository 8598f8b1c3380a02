package gateway

import (
	"time"

	"damaskbridge.example/damaskbridge/batch"
)

// updateAssemblers applies the current catalog and list of runners.
func (o *pieceOwner) updateAssemblers() {
	for service, a := range o.assemblers {
		o.updateAssembler(service, a)
	}
}

func (o *pieceOwner) updateAssembler(service string, a *batch.Assembler) {
	if t := o.g.Table(); t != nil {
		if s := t.Service(service); s != nil && s.StageRunner != nil {
			a.SetSpec(*s.StageRunner)
		}
	}
	zone := o.g.runners.preferredZone(service)
	if zone == "" {
		zone = o.zones[service]
	}
	o.zones[service] = zone
	var runners []batch.Runner
	for _, r := range o.g.runners.runnersInZone(service, zone) {
		runners = append(runners, batch.Runner{
			ID: r.ID, Addr: r.Addr, Draining: r.Draining || !o.g.advice.LeavingSince(r.process).IsZero(),
			PausedUntil: o.g.advice.PausedUntil(time.Now(), r.process),
		})
	}
	a.SetRunners(runners)
}

// assembler returns the assembler of a service, or nil if the catalog has no
// such service.
func (o *pieceOwner) assembler(service string) *batch.Assembler {
	if a := o.assemblers[service]; a != nil {
		return a
	}
	t := o.g.Table()
	if t == nil {
		return nil
	}
	s := t.Service(service)
	if s == nil || s.StageRunner == nil {
		return nil
	}
	a := batch.NewAssembler(*s.StageRunner)
	o.assemblers[service] = a
	o.updateAssembler(service, a)
	return a
}
