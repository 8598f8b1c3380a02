package load

import "damaskbridge.example/damaskbridge/problem"

// verdict is what one try came to.
type verdict int

const (
	// verdictRight is a complete response with the right content.
	verdictRight verdict = iota
	// verdictWrong is a response with other content.
	verdictWrong
	// verdictIncomplete is a response that ended before its end.
	verdictIncomplete
	// verdictDuplicate is a response that says that its key ran before.
	verdictDuplicate
	// verdictRefused is a not_run problem.
	verdictRefused
	// verdictProblem is any other problem.
	verdictProblem
	// verdictBroken is a connection that failed after something was sent.
	verdictBroken
	// verdictNotSent is a connection that could not be opened.
	verdictNotSent
)

// stageInfo is one stage in a response.
type stageInfo struct {
	Name      string  `json:"name"`
	Kind      string  `json:"kind"`
	Attempts  int     `json:"attempts"`
	Upstream  string  `json:"upstream"`
	Region    string  `json:"region"`
	Millis    float64 `json:"ms"`
	CostUnits float64 `json:"cost_units"`
}

// result is the end of one try.
type result struct {
	verdict   verdict
	entry     *target
	requestID string
	problem   *problem.Problem
	note      string
	// status and body are of a service response, to compare a repeated one.
	status   int
	body     []byte
	replayed bool
	stages   []stageInfo
	cross    int64
}

func (r result) answered() bool {
	switch r.verdict {
	case verdictRight, verdictWrong, verdictIncomplete, verdictDuplicate:
		return true
	default:
		return false
	}
}
