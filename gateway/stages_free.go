package gateway

import "slices"

// freeUnneeded frees the results of stages whose successors have all ended.
func (r *request) freeUnneeded() {
	for i := range r.route.Stages {
		if !r.stages.done[i] || slices.Contains(r.stages.final, i) {
			continue
		}
		needed := false
		for j, stage := range r.route.Stages {
			if slices.Contains(stage.After, i) && !r.stages.done[j] {
				needed = true
			}
		}
		if !needed {
			r.freeStage(r.stages, i)
		}
	}
}

// freeInputs frees the final results, which the request itself has used.
func (r *request) freeInputs() {
	if r.stages != nil {
		r.freeFinal(r.stages)
	}
}

func (r *request) freeFinal(s *stageRun) {
	for _, i := range s.final {
		r.freeStage(s, i)
	}
}

func (r *request) freeAll() {
	if r.stages == nil {
		return
	}
	for i := range r.route.Stages {
		r.freeStage(r.stages, i)
	}
}

func (r *request) freeStage(s *stageRun, i int) {
	if s.markFreed(i) {
		r.g.pieces.free(r.route.Stages[i].Service, s.results[i])
	}
}
