package standin

import "damaskbridge.example/damaskbridge/ids"

// Runner identifies one simulated upstream.
type Runner struct {
	VM     ids.VMID   `json:"vm"`
	Pool   string     `json:"pool"`
	Region ids.Region `json:"region"`
}
