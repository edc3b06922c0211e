package scheduler

import "time"

const (
	// rejectionWeight is the weight of a new result in the shares of rejected and of denied starts.
	rejectionWeight = 1.0 / 64
	// rejectionDelay is what a rejected start costs: a round trip, the messages that announce and withdraw its claim, and another
	// placement.
	rejectionDelay = 15 * time.Millisecond
	// denialDelay is what a denied start costs: a round trip to the reader and another placement. It is an estimate; nothing is
	// sent to the target, and the reader answers without delay.
	denialDelay = 5 * time.Millisecond
	// maxRejected bounds the share of rejected and denied starts, so that the expected number of starts is finite.
	maxRejected = 0.9
)

// contention measures how often targets that other instances read reject starts of this instance for lack of capacity, and how
// often their readers deny reservations. All instances prefer the same fast targets, and the free capacity of these is known
// only as of the last report. The more of these starts fail, the more an instance should use the targets that it reads itself.
type contention struct{ rejected, denied float64 }

// record records the result of a start on a target of another reader.
func (contention *contention) record(rejected bool) {
	share := 0.0
	if rejected {
		share = 1
	}
	contention.add(share, 0)
}

// recordDenial records that the reader of a target has denied a reservation.
func (contention *contention) recordDenial() { contention.add(0, 1) }

func (contention *contention) add(rejected, denied float64) {
	contention.rejected += rejectionWeight * (rejected - contention.rejected)
	contention.denied += rejectionWeight * (denied - contention.denied)
}

// cost returns the expected cost of the starts that are rejected or denied before one is accepted.
func (contention *contention) cost() time.Duration {
	rejected := min(contention.rejected, maxRejected)
	denied := min(contention.denied, maxRejected-rejected)
	accepted := 1 - rejected - denied
	return time.Duration(rejected/accepted*float64(rejectionDelay) + denied/accepted*float64(denialDelay))
}
