package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fill picks targets for tasks of kind until none has free capacity.
func fill(router *Router, kind string, now time.Time) []Choice {
	var choices []Choice
	for {
		choice, ok := router.Pick(kind, now)
		if !ok {
			return choices
		}
		choices = append(choices, choice)
	}
}

// finish ends choices after a wait for a slot and the run time, and returns the time afterwards.
func finish(router *Router, choices []Choice, now time.Time, runTime, wait time.Duration) time.Time {
	now = now.Add(runTime + wait)
	for _, choice := range choices {
		router.Done(choice, NewFinished(runTime), now)
	}
	return now
}

// Guards against long tasks on borrowed slots, borrowing on a target where tasks wait, and borrowing that does not
// resume once tasks no longer wait.
func TestBorrowing(t *testing.T) {
	is := is.New(t)
	const short, long = 10 * time.Millisecond, time.Second
	now := time.Unix(1000, 0)
	router := New(Config{Share: NewShare([]float64{1, 1}, 0)})
	router.Update([]Target{NewTarget("runner", "address", 8, false)}, now)
	for range 50 {
		choice, _ := router.Pick("short", now)
		now = finish(router, []Choice{choice}, now, short, 0)
	}
	choice, _ := router.Pick("long", now)
	now = finish(router, []Choice{choice}, now, long, 0)

	longs := fill(router, "long", now)
	is.Equal(len(longs), 4) // half of the slots
	shorts := fill(router, "short", now)
	is.Equal(len(shorts), 4) // borrowed from the other instance
	now = finish(router, shorts, now, short, 50*time.Millisecond)
	is.Equal(len(fill(router, "short", now)), 0) // the waits indicate that the other instance uses its slots
	now = finish(router, longs, now, long, 0)
	for range 5 {
		now = finish(router, fill(router, "short", now), now, short, 0)
	}
	is.Equal(len(fill(router, "short", now)), 8) // all slots are borrowed again after tasks ran without waits
}

// Guards against long tasks that wait forever at an instance without own slots.
func TestBorrowingWithoutShare(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	router := New(Config{Share: NewShare([]float64{1, 1}, 0)})
	for i := 0; ; i++ {
		target := NewTarget(fmt.Sprint("runner-", i), "address", 1, false)
		if router.config.Share.slotsOf(target) == 0 {
			router.Update([]Target{target}, now)
			break
		}
	}
	for range 50 {
		now = finish(router, fill(router, "short", now), now, 10*time.Millisecond, 0)
	}
	longs := fill(router, "long", now)
	is.Equal(len(longs), 1)
	now = finish(router, longs, now, time.Second, 0)
	is.Equal(len(fill(router, "long", now)), 1) // even after the run time of the kind was measured
}

// Guards against a change of the view that leaves slots unused or lets an instance exceed a reduced share.
func TestSetShare(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	router := New(Config{Share: NewShare([]float64{1, 1}, 0), DisableBorrowing: true})
	router.Update([]Target{NewTarget("runner", "address", 8, false)}, now)
	choices := fill(router, "check", now)
	is.Equal(len(choices), 4)
	router.SetShare(NewShare([]float64{1}, 0))
	choices = append(choices, fill(router, "check", now)...)
	is.Equal(len(choices), 8) // a single instance has all slots
	router.SetShare(NewShare([]float64{1, 1, 1, 1}, 2))
	finish(router, choices[:6], now, time.Second, 0)
	is.Equal(len(fill(router, "check", now)), 0) // the two tasks in flight use the new share of a quarter
	finish(router, choices[6:7], now, time.Second, 0)
	is.Equal(len(fill(router, "check", now)), 1)
}

// Guards against weights in the bundle that have no effect on the ejection threshold.
func TestWeightsSetEjection(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		responseTime, wasted float64
		failures             int
	}{{1, 0, 4}, {3, 1, 3}, {1, 3, 2}, {0, 1, 2}, {0, 0, 3}} {
		now := time.Unix(1000, 0)
		router := New(Config{Policy: RoundRobin{}})
		router.SetWeights(test.responseTime, test.wasted)
		router.Update(snapshot(10, 1), now)
		failures := 0
		for router.Ejected() == 0 {
			choice, ok := router.Pick("check", now)
			is.True(ok)
			now = now.Add(time.Millisecond)
			if choice.Name() == "runner-00003" {
				failures++
				router.Done(choice, Failed{}, now)
				continue
			}
			router.Done(choice, NewFinished(time.Millisecond), now)
		}
		is.Equal(failures, test.failures)
	}
}
