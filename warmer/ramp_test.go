package warmer

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

var origin = time.Unix(1_000_000, 0)

func at(milliseconds int) time.Time {
	return origin.Add(time.Duration(milliseconds) * time.Millisecond)
}

// A step that comes early lets a burst through, one that comes late withholds capacity, and a period that never ends keeps the
// target at a part of its load.
func TestShareGrowsByQuarters(t *testing.T) {
	ramp := New(Policy{}, at(0), at(8000), at(0))
	tests := []struct {
		now  int
		want float64
	}{
		{-5000, 0.25}, // the clock of this instance was set back
		{0, 0.25},
		{1999, 0.25},
		{2000, 0.5},
		{3999, 0.5},
		{4000, 0.75},
		{5999, 0.75},
		{6000, 1},
		{7999, 1},
		{8000, 1},
		{100_000, 1},
	}
	for _, test := range tests {
		is := is.New(t)
		is.Equal(ramp.Share(at(test.now)), test.want)
		is.Equal(ramp.IsCold(at(test.now)), test.now < 8000)
	}
}

// The rate must hold from the beginning of the count on: time that was not observed, or a slack that another instance may have used,
// would let a burst through.
func TestStartsAreLimitedByTheRate(t *testing.T) {
	policy := Policy{StartsPerSecond: 2, Overage: 1.5, Slack: 5}
	whole := New(policy, at(0), at(8000), at(0))
	late := New(policy, at(0), at(8000), at(4000))
	tests := []struct {
		name    string
		ramp    *Ramp
		now     int
		started int64
		want    int64
	}{
		{"slack at the beginning", whole, 0, 0, 5},
		{"slack used up", whole, 0, 5, 0},
		{"clock that stands still", whole, 0, 7, 0},
		{"clock set back", whole, -3000, 5, 0},
		{"just before the next start", whole, 333, 5, 0},
		{"next start", whole, 334, 5, 1},
		{"two seconds", whole, 2000, 3, 8},
		{"end of the period", whole, 8000, 1000, math.MaxInt64},
		{"count that begins late", late, 4000, 0, 5},
		{"a second of a count that begins late", late, 5000, 0, 8},
		{"count from before the period", New(policy, at(0), at(8000), at(-9000)), 1000, 0, 8},
		{"taken over", late.WithoutSlack(), 4000, 0, 0},
		{"a second after it was taken over", late.WithoutSlack(), 5000, 0, 3},
		{"rate unknown", New(Policy{Overage: 1.5, Slack: 5}, at(0), at(8000), at(0)), 0, 1000, math.MaxInt64},
		{"overage unknown", New(Policy{StartsPerSecond: 2}, at(0), at(8000), at(0)), 1000, 0, 2},
		{"negative amounts", New(Policy{StartsPerSecond: 2, Overage: -1, Slack: -5}, at(0), at(8000), at(0)), 1000, 0, 2},
		{"negative rate", New(Policy{StartsPerSecond: -2}, at(0), at(8000), at(0)), 1000, 1000, math.MaxInt64},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.ramp.RemainingStarts(at(test.now), test.started), test.want)
		})
	}
}

// Both limits must hold, a target without a policy must not stay limited, and a period without length must not divide by zero.
func TestAllows(t *testing.T) {
	limited := New(Policy{StartsPerSecond: 1, Overage: 1, Slack: 1}, at(0), at(4000), at(0))
	empty := New(Policy{}, at(0), at(0), at(0))
	tests := []struct {
		name    string
		ramp    *Ramp
		now     int
		running float64
		started int64
		want    bool
	}{
		{"idle", limited, 0, 0, 0, true},
		{"share in use", limited, 0, 0.25, 0, false},
		{"share grows", limited, 1000, 0.25, 0, true},
		{"starts used up", limited, 1000, 0, 2, false},
		{"end of the period", limited, 4000, 0.99, 100, true},
		{"no policy", empty, 0, 0.99, 100, true},
		{"no policy and a clock set back", empty, -1, 0.1, 100, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.ramp.Allows(at(test.now), test.running, test.started), test.want)
		})
	}
}
