package reporter

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// Objective is the service level objective of a kind: the share of its requests that must get the answer complete
// within a given time.
type Objective struct {
	within  time.Duration
	percent float64
}

// NewObjective returns the objective that percent of the requests get the answer complete within the given time.
func NewObjective(within time.Duration, percent float64) (Objective, error) {
	if within <= 0 || !(percent > 0 && percent < 100) {
		return Objective{}, eris.Errorf("objective of %v%% within %v: the time must be positive and the share between 0 and 100%%, exclusive", percent, within)
	}
	return Objective{within: within, percent: percent}, nil
}

// Within returns the latency up to which a complete answer is good.
func (objective Objective) Within() time.Duration { return objective.within }

// Percent returns the share of requests that must be good, in percent.
func (objective Objective) Percent() float64 { return objective.percent }

// budget returns the error budget: the share of requests that may be bad.
func (objective Objective) budget() float64 { return 1 - objective.percent/100 }

// Class is the class under which an answer is counted.
type Class int

// Classes of answers. Good answers meet the objective; all others but Unclaimed use up the error budget.
const (
	// Good is a complete answer within the time of the objective.
	Good Class = iota
	// Late is a complete answer after the time of the objective.
	Late
	// Failed is an answer to a job that was started and did not complete.
	Failed
	// Refused is an answer that says that the job was not run.
	Refused
	// Unknown is an answer that does not say whether the job was started.
	Unknown
	// Unclaimed is an answer for which it is not decided whether this instance counts its request. It is not part of
	// the burn rate.
	Unclaimed

	numClasses
)

// Counts holds the number of answers per class.
type Counts [numClasses]uint64

// Total returns the number of answers that are part of the burn rate.
func (counts Counts) Total() uint64 { return counts[Good] + counts.Bad() }

// Bad returns the number of answers that use up the error budget.
func (counts Counts) Bad() uint64 {
	return counts[Late] + counts[Failed] + counts[Refused] + counts[Unknown]
}

func (counts *Counts) add(other Counts) {
	for class, count := range other {
		counts[class] += count
	}
}

// Series identifies a set of answers that are counted together: those of one kind and one team.
type Series struct {
	Kind string `json:"kind"`
	Team string `json:"team"`
}

// emptyName replaces an empty name, because an empty team in a report denotes the whole kind.
const emptyName = "(none)"

// withPlaceholders returns series with empty names replaced.
func (series Series) withPlaceholders() Series {
	if series.Kind == "" {
		series.Kind = emptyName
	}
	if series.Team == "" {
		series.Team = emptyName
	}
	return series
}

// OtherName is the kind or team of answers beyond the limit of series. No request can have it as a name, because names
// contain no spaces.
const OtherName = "(all other)"

// Grant is the decision whether this instance counts a request.
type Grant int

// Decisions about the count of a request.
const (
	// KeyOwner means that this instance owns the key, or that the key is a solo key, which only its issuer handles.
	KeyOwner Grant = iota
	// Granted means that the owner of the key granted the count to this instance.
	Granted
	// Denied means that the owner granted the count to another instance.
	Denied
	// Undecided means that the owner was unreachable or that the outcome is not known yet.
	Undecided
)

// Answer is one answer that was written to its caller.
type Answer struct {
	key     string
	series  Series
	outcome dispatcher.Outcome
	latency time.Duration
	grant   Grant
}

// NewAnswer returns the answer to job; latency is the time from the receipt of the request until the answer was
// written.
func NewAnswer(job dispatcher.Job, outcome dispatcher.Outcome, latency time.Duration, grant Grant) Answer {
	series := Series{Kind: job.Kind(), Team: job.Team()}.withPlaceholders()
	return Answer{key: job.Key(), series: series, outcome: outcome, latency: latency, grant: grant}
}

// classify returns the class of answer under the objective of its kind, if it has one.
func (answer Answer) classify(objective Objective, hasObjective bool) Class {
	if answer.grant == Undecided {
		return Unclaimed
	}
	switch answer.outcome.(type) {
	case dispatcher.Complete:
		if hasObjective && answer.latency > objective.within {
			return Late
		}
		return Good
	case dispatcher.Failed:
		return Failed
	case dispatcher.Refused:
		return Refused
	default:
		return Unknown
	}
}
