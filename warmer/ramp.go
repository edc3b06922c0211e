package warmer

import (
	"math"
	"time"
)

// quarters is the number of steps in which the load of a cold target returns.
const quarters = 4

// Ramp limits the load of one target from the beginning to the end of its cold period.
type Ramp struct {
	policy Policy
	begin  time.Time
	end    time.Time
	// countedFrom is the time from which the starts are counted. Earlier ones are not known, so the time before it gives no
	// right to starts.
	countedFrom time.Time
	slack       float64
}

// New returns the ramp of a target that is cold from begin to end and whose starts are counted from countedFrom.
func New(policy Policy, begin, end, countedFrom time.Time) *Ramp {
	if countedFrom.Before(begin) {
		countedFrom = begin
	}
	return &Ramp{policy: policy, begin: begin, end: end, countedFrom: countedFrom, slack: max(policy.Slack, 0)}
}

// WithoutSlack returns the ramp for an instance that has taken the target over from another one, which may have used up the
// slack.
func (ramp *Ramp) WithoutSlack() *Ramp {
	following := *ramp
	following.slack = 0
	return &following
}

// Begin returns the beginning of the cold period.
func (ramp *Ramp) Begin() time.Time { return ramp.begin }

// End returns the end of the cold period.
func (ramp *Ramp) End() time.Time { return ramp.end }

// CountedFrom returns the time from which the starts are counted.
func (ramp *Ramp) CountedFrom() time.Time { return ramp.countedFrom }

// IsCold reports whether the cold period has not ended yet.
func (ramp *Ramp) IsCold(now time.Time) bool { return now.Before(ramp.end) }

// Share returns the share of the target's capacity that may be in use: as many quarters as the quarter of the period counts.
func (ramp *Ramp) Share(now time.Time) float64 {
	if !ramp.IsCold(now) {
		return 1
	}
	elapsed, period := max(now.Sub(ramp.begin), 0), max(ramp.end.Sub(ramp.begin), 1)
	return float64(elapsed*quarters/period+1) / quarters
}

// StartRate returns how many starts per second are allowed in the long run; 0 means no limit.
func (ramp *Ramp) StartRate(now time.Time) float64 {
	if !ramp.IsCold(now) {
		return 0
	}
	return ramp.policy.startRate()
}

// RemainingStarts returns how many starts are allowed beside those since CountedFrom.
func (ramp *Ramp) RemainingStarts(now time.Time, started int64) int64 {
	rate := ramp.StartRate(now)
	if rate <= 0 {
		return math.MaxInt64
	}
	elapsed := max(now.Sub(ramp.countedFrom), 0).Seconds()
	return max(int64(ramp.slack+rate*elapsed)-started, 0)
}

// Allows reports whether another run may start while the given share of the capacity is in use. started counts the starts since
// CountedFrom.
func (ramp *Ramp) Allows(now time.Time, running float64, started int64) bool {
	return running < ramp.Share(now) && ramp.RemainingStarts(now, started) > 0
}
