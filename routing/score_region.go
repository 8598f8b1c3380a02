package routing

import (
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

const bytesPerMB = 1 << 20

// regionScorer charges the delay of a call into another region and the bytes
// that are carried from the region that holds the previous result.
type regionScorer struct {
	region      ids.Region
	penaltyMS   float64
	paidMSPerMB float64
}

func (regionScorer) Name() string { return "region" }

func (s regionScorer) CostMS(req *Request, c *Candidate, _ time.Time) float64 {
	from := req.DataRegion
	if from == "" {
		from = s.region
	}
	if c.Upstream.Region == from {
		return 0
	}
	return s.penaltyMS + s.paidMSPerMB*float64(req.Bytes)/bytesPerMB
}
