package routing

import (
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

const bytesPerMB = 1 << 20

// regionScorer adds the delay of a call from the region that holds the data into
// another region and a cost for the bytes transferred between them.
type regionScorer struct {
	region          ids.Region
	penaltyMS       float64
	transferMSPerMB float64
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
	return s.penaltyMS + s.transferMSPerMB*float64(req.Bytes)/bytesPerMB
}
