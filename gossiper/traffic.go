package gossiper

import (
	"sync/atomic"

	"github.com/hyssoplift/hyssoplift/linker"
)

// kinds lists the parts of a state update under the names that metrics and logs use, each with the number of its entries.
var kinds = []struct {
	name  string
	count func(*linker.StateUpdate) int
}{
	{"claims", func(update *linker.StateUpdate) int { return len(update.Claims) }},
	{"reservations", func(update *linker.StateUpdate) int { return len(update.Reservations) + len(update.ReservationAnswers) }},
	{"withdrawals", func(update *linker.StateUpdate) int { return len(update.Withdrawn) }},
	{"stops", func(update *linker.StateUpdate) int { return len(update.Stops) }},
	{"lease-ends", func(update *linker.StateUpdate) int { return len(update.LeaseEnds) }},
	{"suspensions", func(update *linker.StateUpdate) int { return len(update.Suspensions) }},
	{"queries", func(update *linker.StateUpdate) int { return len(update.Queries) + len(update.Disowned) }},
	{"ends", func(update *linker.StateUpdate) int { return len(update.Ends) }},
	{"reports", func(update *linker.StateUpdate) int { return len(update.FreeCapacity) }},
	{"losses", func(update *linker.StateUpdate) int { return len(update.Losses) }},
	{"incarnations", func(update *linker.StateUpdate) int {
		return len(update.Responding) + len(update.Restarts) + len(update.Verified)
	}},
	{"cancellations", func(update *linker.StateUpdate) int {
		return len(update.Abandoned) + len(update.Cancelled) + len(update.CancelAnswers)
	}},
	{"evacuations", func(update *linker.StateUpdate) int { return len(update.Evacuations) }},
}

// traffic counts the entries of the state updates sent, in the order of kinds.
type traffic []atomic.Int64

func newTraffic() traffic { return make(traffic, len(kinds)) }

// record counts an update to a number of instances.
func (traffic traffic) record(update *linker.StateUpdate, instances int) {
	for i := range kinds {
		if count := kinds[i].count(update); count > 0 {
			traffic[i].Add(int64(count * instances))
		}
	}
}

// Sent returns the number and the total size of the frames sent to other instances so far.
func (gossiper *Gossiper) Sent() (frames, bytes int64) {
	links := gossiper.currentLinks()
	if links == nil {
		return 0, 0
	}
	return links.Traffic().FramesSent(), links.Traffic().BytesSent()
}

// Entries is how many entries of a kind were sent to other instances.
type Entries struct {
	kind  string
	value func() int64
}

// Kind returns the name of the kind.
func (entries *Entries) Kind() string { return entries.kind }

// Sent returns the number of entries sent so far, counted once for each recipient.
func (entries *Entries) Sent() int64 { return entries.value() }

// Entries returns the counters of all kinds of entries.
func (gossiper *Gossiper) Entries() []Entries {
	counters := make([]Entries, len(kinds))
	for i := range kinds {
		counters[i] = Entries{kinds[i].name, gossiper.traffic[i].Load}
	}
	return counters
}
