package relay

import "time"

// queuedPacket is a UDP packet in transit.
type queuedPacket struct {
	data      []byte
	arrivesAt time.Time
}

// packetQueue delivers the packets of one direction of a flow in order.
type packetQueue struct {
	direction *Direction
	flow      *flow
	packets   chan queuedPacket
	write     func([]byte) error
}

func newPacketQueue(d *Direction, f *flow, write func([]byte) error) *packetQueue {
	q := &packetQueue{direction: d, flow: f, packets: make(chan queuedPacket, maxPacketsInFlight), write: write}
	go q.run()
	return q
}

// enqueue queues a copy of p for delivery. It drops p if the flow is frozen, the
// direction is cut or the queue is full.
func (q *packetQueue) enqueue(p []byte) {
	if q.flow.isFrozen() || q.direction.dropIfCut() {
		return
	}
	arrivesAt := q.direction.arrivalTime(time.Now(), len(p))
	select {
	case q.packets <- queuedPacket{data: append([]byte{}, p...), arrivesAt: arrivesAt}:
	default:
		q.direction.addDrop()
	}
}

func (q *packetQueue) run() {
	for {
		var p queuedPacket
		select {
		case p = <-q.packets:
		case <-q.flow.closed:
			return
		}
		if !sleepUntil(p.arrivesAt, q.flow.closed) {
			return
		}
		if q.flow.isFrozen() || q.direction.dropIfCut() {
			continue
		}
		q.direction.addBytes(len(p.data))
		// A failed write is ignored: the packet crossed the simulated link and was
		// lost behind it.
		_ = q.write(p.data)
	}
}
