package relay

import "time"

// packet is a UDP packet on its way.
type packet struct {
	data []byte
	due  time.Time
}

// packetQueue carries one direction of a flow in order.
type packetQueue struct {
	direction *Direction
	flow      *flow
	packets   chan packet
	write     func([]byte) error
}

func newPacketQueue(d *Direction, f *flow, write func([]byte) error) *packetQueue {
	q := &packetQueue{direction: d, flow: f, packets: make(chan packet, packetsInFlight), write: write}
	go q.run()
	return q
}

// push sends a copy of p, or loses it: on a frozen flow, in a cut direction,
// or where too many packets are on their way.
func (q *packetQueue) push(p []byte) {
	if q.flow.isFrozen() || q.direction.lost() {
		return
	}
	due := q.direction.due(time.Now(), len(p))
	select {
	case q.packets <- packet{data: append([]byte{}, p...), due: due}:
	default:
		q.direction.drop()
	}
}

func (q *packetQueue) run() {
	for {
		var p packet
		select {
		case p = <-q.packets:
		case <-q.flow.stop:
			return
		}
		if !waitUntil(p.due, q.flow.stop) {
			return
		}
		if q.flow.isFrozen() || q.direction.lost() {
			continue
		}
		q.direction.arrived(len(p.data))
		// A packet that the target's socket rejects is lost beyond the link.
		_ = q.write(p.data)
	}
}
