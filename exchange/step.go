package exchange

// Step is a step of an exchange, for those who follow it.
type Step int

// Steps, in their order. An exchange that fails skips some.
const (
	// StepNewConn and StepKeptConn: the request is about to be written on a new
	// connection, or on one that was kept.
	StepNewConn Step = iota
	StepKeptConn
	// StepWritten: the whole request is written.
	StepWritten
	// StepAnswered: the head of the response is read.
	StepAnswered
	// StepEnded: the connection is closed or kept for another request.
	StepEnded
)
