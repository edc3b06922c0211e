package restrainer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// event changes a limit at a time in seconds, and gives the limit that is then allowed.
type event struct {
	at int
	// budget is set unless it is negative.
	budget int
	// kept is the number of connections on which the target answers while it resets another one; no reset if it is
	// negative.
	kept int
	want int
}

func budget(at, budget, want int) event { return event{at, budget, -1, want} }

func reset(at, kept, want int) event { return event{at, -1, kept, want} }

func look(at, want int) event { return event{at, -1, -1, want} }

// Guards against instances with different views of the membership that together hold more connections than a target
// accepts, against new connections to a target that resets them, and against a limit that never recovers.
func TestLimit(t *testing.T) {
	tests := []struct {
		name   string
		events []event
	}{
		{"no budget is no limit", []event{look(0, 0), reset(1, 5, 0), look(20, 0)}},
		{"budget 0 is no limit", []event{budget(0, 0, 0), reset(1, 5, 0), look(20, 0)}},
		{"first budget at once", []event{budget(0, 8, 8)}},
		{"smaller at once", []event{budget(0, 8, 8), budget(1, 3, 3)}},
		{"limit after none at once", []event{budget(0, 0, 0), budget(1, 3, 3)}},
		{"larger after 10 s", []event{budget(0, 3, 3), budget(1, 8, 3), look(10, 3), look(11, 8)}},
		{"none after 10 s", []event{budget(0, 3, 3), budget(1, 0, 3), look(10, 3), look(11, 0)}},
		{"repeated larger budget counts from the first", []event{budget(0, 3, 3), budget(1, 8, 3), budget(9, 8, 3), look(11, 8)}},
		{"growth in steps", []event{budget(0, 3, 3), budget(1, 5, 3), budget(6, 8, 3), look(11, 5), look(15, 5), look(16, 8)}},
		{"less growth counts from the larger one", []event{budget(0, 3, 3), budget(1, 8, 3), budget(6, 5, 3), look(11, 5), look(30, 5)}},
		{"dip below a step", []event{budget(0, 3, 3), budget(1, 5, 3), budget(4, 8, 3), budget(6, 4, 3), budget(7, 8, 3), look(11, 4), look(16, 4), look(17, 8)}},
		{"shrinking ends growth", []event{budget(0, 3, 3), budget(1, 8, 3), budget(9, 2, 2), budget(10, 8, 2), look(19, 2), look(20, 8)}},
		{"halved at a reset, raised by one each 10 s", []event{
			budget(0, 8, 8), reset(1, 7, 4), look(10, 4), look(11, 5), look(21, 6), look(40, 7), look(41, 8), look(200, 8),
		}},
		{"odd limit is halved downwards", []event{budget(0, 5, 5), reset(0, 4, 2)}},
		{"not below one", []event{budget(0, 2, 2), reset(0, 1, 1), reset(1, 0, 1), look(10, 1), look(11, 2)}},
		{"no more than the target keeps", []event{budget(0, 16, 16), reset(0, 3, 3), look(10, 4)}},
		{"reset again while recovering", []event{budget(0, 8, 8), reset(0, 7, 4), look(10, 5), reset(10, 4, 2), look(19, 2), look(20, 3)}},
		{"budget below the reduced limit", []event{budget(0, 8, 8), reset(0, 7, 4), budget(1, 2, 2), look(30, 2)}},
		{"growth of the budget does not end the reduction", []event{budget(0, 4, 4), reset(0, 3, 2), budget(1, 8, 2), look(11, 3), look(59, 7), look(60, 8)}},
		{"limit that ends, ends the reduction", []event{budget(0, 4, 4), reset(0, 3, 2), budget(1, 0, 2), look(11, 0), budget(12, 4, 4)}},
	}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			limit := &Limit{}
			for _, event := range test.events {
				now := start.Add(time.Duration(event.at) * time.Second)
				if event.budget >= 0 {
					limit.SetBudget(event.budget, now)
				}
				if event.kept >= 0 {
					limit.RecordReset(event.kept, now)
				}
				is.Equal(limit.Allowed(now), event.want) // allowed after the event
			}
		})
	}
}

// Guards against a limit that is dropped and set anew, and so loses a reduction or a larger budget that is not due yet.
func TestSettled(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limit := &Limit{}
	limit.SetBudget(2, start)
	is.True(limit.IsSettled(start))
	limit.SetBudget(4, start)
	is.True(!limit.IsSettled(start))
	is.True(limit.IsSettled(start.Add(growthDelay)))
	limit.RecordReset(3, start.Add(growthDelay))
	is.True(!limit.IsSettled(start.Add(growthDelay)))
	is.True(limit.IsSettled(start.Add(growthDelay + 2*raiseInterval)))
}
