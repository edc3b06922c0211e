package reporter

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// Objective is the share of a kind's requests that must be answered complete within a time.
type Objective struct {
	within  time.Duration
	percent float64
}

// NewObjective returns the objective that percent of the requests are answered complete within the given time.
func NewObjective(within time.Duration, percent float64) (Objective, error) {
	if within <= 0 || !(percent > 0 && percent < 100) {
		return Objective{}, eris.Errorf("objective of %v%% within %v: allowed are a positive time and a share between 0 and 100%%, exclusive", percent, within)
	}
	return Objective{within: within, percent: percent}, nil
}

// Within returns the time within which an answer is good.
func (objective Objective) Within() time.Duration { return objective.within }

// Percent returns the share of requests that must be good, in percent.
func (objective Objective) Percent() float64 { return objective.percent }

// budget returns the share of requests that may be bad.
func (objective Objective) budget() float64 { return 1 - objective.percent/100 }

// Class is how an answer counts.
type Class int

// Classes of answers; only Good counts for the objective.
const (
	// Good is a complete answer in time.
	Good Class = iota
	// Late is a complete answer after the time of the objective.
	Late
	// Failed is an answer to a job that started and did not finish.
	Failed
	// Refused is a true "not run".
	Refused
	// Unknown is an answer that makes no claim about starts.
	Unknown
	// Unclaimed is an answer given without the owner of its key; it is not part of the burn rate.
	Unclaimed

	numClasses
)

// Counts holds the number of answers per class.
type Counts [numClasses]uint64

// Total returns the answers that are part of the burn rate.
func (counts Counts) Total() uint64 { return counts[Good] + counts.Bad() }

// Bad returns the answers that count against the budget.
func (counts Counts) Bad() uint64 {
	return counts[Late] + counts[Failed] + counts[Refused] + counts[Unknown]
}

func (counts *Counts) add(other Counts) {
	for class, count := range other {
		counts[class] += count
	}
}

// Series names what is counted together.
type Series struct {
	Kind string `json:"kind"`
	Team string `json:"team"`
}

// emptyName stands for an empty name, which in a report means a whole kind.
const emptyName = "(none)"

func (series Series) withPlaceholders() Series {
	if series.Kind == "" {
		series.Kind = emptyName
	}
	if series.Team == "" {
		series.Team = emptyName
	}
	return series
}

// OtherName stands for the kinds or teams beyond the bound on series; no request can use it as a name, because
// names have no spaces.
const OtherName = "(all other)"

// Grant says how it was decided which instance counts a request.
type Grant int

// Decisions about the count of a request.
const (
	// KeyOwner means that this instance owns the key, or issued it for itself alone.
	KeyOwner Grant = iota
	// Granted means that the owner of the key granted the count to this instance.
	Granted
	// Denied means that the owner granted the count to another instance.
	Denied
	// Undecided means that the owner could not be reached.
	Undecided
)

// Answer is one answer that has reached its caller.
type Answer struct {
	key     string
	series  Series
	outcome dispatcher.Outcome
	latency time.Duration
	grant   Grant
}

// NewAnswer returns the answer to job; took is the time from the receipt of the request to the end of the
// answer, and grant tells whether this instance is to count it.
func NewAnswer(job dispatcher.Job, outcome dispatcher.Outcome, latency time.Duration, grant Grant) Answer {
	series := Series{Kind: job.Kind(), Team: job.Team()}.withPlaceholders()
	return Answer{key: job.Key(), series: series, outcome: outcome, latency: latency, grant: grant}
}

// classify returns the class of answer under an objective, of which there may be none.
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
