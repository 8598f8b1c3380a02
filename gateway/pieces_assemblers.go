package gateway

import (
	"time"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/residency"
)

// updateAssemblers applies the current catalog and list of runners.
func (o *pieceOwner) updateAssemblers() {
	for pool, a := range o.assemblers {
		o.updateAssembler(pool, a)
	}
}

func (o *pieceOwner) updateAssembler(pool poolKey, a *batch.Assembler) {
	var service *catalog.Service
	if t := o.g.Table(); t != nil {
		service = t.Service(pool.service)
	}
	if service != nil && service.StageRunner != nil {
		a.SetSpec(*service.StageRunner)
	}
	now := time.Now()
	evacuated := o.g.runners.evacuations.Load().IsEvacuated(pool.zone)
	var runners []batch.Runner
	for _, r := range o.g.runners.inPool(pool) {
		runners = append(runners, batch.Runner{
			ID: r.ID, Addr: r.Addr, Draining: evacuated || r.Draining || !o.g.advice.LeavingSince(r.process).IsZero(),
			PausedUntil: laterOf(o.g.advice.PausedUntil(now, r.process), o.g.runners.poolColdUntil(now, service, &r)),
		})
	}
	a.SetRunners(runners)
	elsewhere := o.g.runners.preferredZone(pool.service, residency.Regions{})
	a.SetAbandoned(evacuated || !a.HasUsableRunner() && elsewhere != "" && elsewhere != pool.zone)
}

func laterOf(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// assembler returns the assembler of a pool, or nil if the catalog has no such
// service or the pool has no runners.
func (o *pieceOwner) assembler(pool poolKey) *batch.Assembler {
	if a := o.assemblers[pool]; a != nil {
		return a
	}
	t := o.g.Table()
	if t == nil {
		return nil
	}
	s := t.Service(pool.service)
	if s == nil || s.StageRunner == nil || len(o.g.runners.inPool(pool)) == 0 {
		return nil
	}
	a := batch.NewAssembler(*s.StageRunner)
	o.assemblers[pool] = a
	o.updateAssembler(pool, a)
	return a
}

// assemblerOf returns the assembler that accounts the memory of a service's runner
// at an address, or nil if this VM has none.
func (o *pieceOwner) assemblerOf(service, runner string) *batch.Assembler {
	for pool, a := range o.assemblers {
		if pool.service == service && a.HasRunner(runner) {
			return a
		}
	}
	return nil
}
