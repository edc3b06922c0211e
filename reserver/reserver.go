package reserver

import "time"

const (
	// askAbove and ceaseBelow are the shares of failed starts above which reservations are asked for, and below which they no
	// longer are. The distance between them keeps the decision from changing with every start.
	askAbove   = 0.1
	ceaseBelow = 0.05
	// window is over how many starts the share is averaged: at a share of ceaseBelow, its standard deviation is about 0.02,
	// so that it rarely exceeds askAbove by chance.
	window = 64
	// assumedSuccesses is how many successful starts are assumed before the first one, so that a single failure does not lead
	// to reservations.
	assumedSuccesses = 10
)

// maxAges are the maximum ages of a report in the classes for which shares are kept. The last class has none. In a trial with
// 13 starting instances, targets rejected 19% of the starts at 0 ms, 41% at 4 to 8 ms, 57% at 9 to 20 ms and 58% above.
var maxAges = [...]time.Duration{2 * time.Millisecond, 8 * time.Millisecond, 20 * time.Millisecond}

// Reserver decides when to ask for reservations. It is not safe for concurrent use.
type Reserver struct {
	classes [len(maxAges) + 1]class
}

// class holds the starts that relied on reports of similar age.
type class struct {
	failed float64
	starts int
	asking bool
}

// New returns a reserver that does not ask yet.
func New() *Reserver { return &Reserver{} }

// Asks reports whether a start that relies on a report of the given age is to be preceded by a reservation.
func (reserver *Reserver) Asks(age time.Duration) bool { return reserver.class(age).asking }

// Record records the result of a start that relied on a report of the given age: failed means that the target rejected it for
// lack of capacity, or that the target's reader denied the reservation.
func (reserver *Reserver) Record(age time.Duration, failed bool) {
	class := reserver.class(age)
	class.record(failed)
}

func (reserver *Reserver) class(age time.Duration) *class {
	for i, maxAge := range maxAges {
		if age <= maxAge {
			return &reserver.classes[i]
		}
	}
	return &reserver.classes[len(maxAges)]
}

func (class *class) record(failed bool) {
	result := 0.0
	if failed {
		result = 1
	}
	class.starts = min(class.starts+1, window-assumedSuccesses)
	class.failed += (result - class.failed) / float64(class.starts+assumedSuccesses)
	switch {
	case class.failed > askAbove:
		class.asking = true
	case class.failed < ceaseBelow:
		class.asking = false
	}
}
