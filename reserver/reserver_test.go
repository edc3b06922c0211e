package reserver

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// record records starts of which every period-th fails, beginning with successes; 0 means that none fails.
func record(reserver *Reserver, age time.Duration, starts, period int) {
	for number := range starts {
		reserver.Record(age, period > 0 && (number+1)%period == 0)
	}
}

// Reservations that are asked for without contention delay each start by a round trip; missing ones under contention lead to
// rejections; a decision that changes with each start does both.
func TestReservationsFollowTheShareOfFailedStarts(t *testing.T) {
	type phase struct {
		starts, period int
		asks           bool
	}
	tests := []struct {
		name   string
		phases []phase
	}{
		{"no starts", []phase{{0, 0, false}}},
		{"no failures", []phase{{1000, 0, false}}},
		{"a single failure at first", []phase{{1, 1, false}}},
		{"two failures at first", []phase{{2, 1, true}}},
		{"one failure in 30", []phase{{3000, 30, false}}},
		{"one failure in 14 does not begin", []phase{{2800, 14, false}}},
		{"one failure in 5", []phase{{1000, 5, true}}},
		{"one failure in 14 does not cease", []phase{{100, 5, true}, {2800, 14, true}}},
		{"one failure in 100 ceases", []phase{{100, 5, true}, {1000, 100, false}}},
		{"no more failures", []phase{{100, 1, true}, {150, 0, true}, {100, 0, false}}},
		{"failures again", []phase{{100, 2, true}, {1000, 0, false}, {6, 1, false}, {1, 1, true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			reserver := New()
			for _, phase := range test.phases {
				record(reserver, 0, phase.starts, phase.period)
				is.Equal(reserver.Asks(0), phase.asks)
			}
		})
	}
}

// Starts that rely on new reports must not be delayed because those that rely on old ones fail.
func TestAgesAreIndependent(t *testing.T) {
	boundaries := []struct {
		youngest, oldest time.Duration
	}{
		{0, 2 * time.Millisecond},
		{2*time.Millisecond + 1, 8 * time.Millisecond},
		{8*time.Millisecond + 1, 20 * time.Millisecond},
		{20*time.Millisecond + 1, time.Hour},
	}
	for failing := range boundaries {
		is := is.New(t)
		reserver := New()
		for class, ages := range boundaries {
			record(reserver, ages.oldest, 100, 0)
			if class == failing {
				record(reserver, ages.youngest, 20, 1)
			}
		}
		for class, ages := range boundaries {
			is.Equal(reserver.Asks(ages.youngest), class == failing)
			is.Equal(reserver.Asks(ages.oldest), class == failing)
		}
	}
}
