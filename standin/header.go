package standin

// Headers of the upstream protocol.
const (
	HeaderAttempt     = "Damask-Attempt"
	HeaderLoad        = "Damask-Load"
	HeaderDraining    = "Damask-Draining"
	HeaderNotExecuted = "Damask-Not-Executed"
	HeaderKey         = "Damask-Key"
	HeaderPriority    = "Damask-Priority"
	HeaderResume      = "Damask-Resume-Tokens"
)
