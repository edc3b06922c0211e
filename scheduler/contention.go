package scheduler

import "time"

const (
	// rejectionWeight is the weight of a new result in the share of rejected starts.
	rejectionWeight = 1.0 / 64
	// rejectionDelay is what a rejected start costs: a round trip, the messages that announce and withdraw its claim, and another
	// placement.
	rejectionDelay = 15 * time.Millisecond
	// maxRejected bounds the share of rejected starts, so that the expected number of starts is finite.
	maxRejected = 0.9
)

// contention measures how often targets that other instances read reject starts of this instance for lack of capacity. All
// instances prefer the same fast targets, and the free capacity of these is known only as of the last report. The more of these
// starts fail, the more an instance should use the targets that it reads itself.
type contention struct{ rejected float64 }

// record records the result of a start on a target of another reader.
func (contention *contention) record(rejected bool) {
	share := 0.0
	if rejected {
		share = 1
	}
	contention.rejected += rejectionWeight * (share - contention.rejected)
}

// cost returns the expected cost of the starts that are rejected before one is accepted.
func (contention *contention) cost() time.Duration {
	rejected := min(contention.rejected, maxRejected)
	return time.Duration(rejected / (1 - rejected) * float64(rejectionDelay))
}
