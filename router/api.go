package router

import "time"

// Target is one target of a service, as listed in a snapshot.
type Target struct {
	name    string
	address string
	slots   int
	leaving bool
}

// NewTarget returns a target that runs slots tasks at once; a leaving target gets no new tasks.
func NewTarget(name, address string, slots int, leaving bool) Target {
	return Target{name: name, address: address, slots: slots, leaving: leaving}
}

// Config holds the parameters of a router; its zero value is usable.
type Config struct {
	// Seed makes the choices reproducible. Instances need different seeds, so that they do not all choose the same
	// targets at the same time.
	Seed uint64
	// Policy is the selection policy; nil means LeastExpectedCompletion.
	Policy Policy
	// ResponseTimeWeight is the bundle's response-time-weight, at least 0.
	ResponseTimeWeight float64
	// WastedMessageWeight is the bundle's wasted-message-weight, at least 0.
	WastedMessageWeight float64
	// Share is this instance's share of the slots of its failure domain; the zero value means all slots.
	Share Share
	// DisableBorrowing forbids borrowing slots beyond the share.
	DisableBorrowing bool
	// DisableEjection turns the ejection of targets off; it is used only for measurements.
	DisableEjection bool
}

// Share is the part of the slots of a failure domain that belongs to one instance, as a range between 0 and 1.
//
// The ranges follow each other in the order of the instances, and the length of
// each is the weight of its instance divided by the sum of all weights. Instances
// that list the members of a view in the same order therefore get ranges that do
// not overlap, and the slots that they derive from them add up to the slots of
// each target.
type Share struct{ low, high float64 }

// NewShare returns the share of instance i among instances with the given weights, which must be positive.
func NewShare(weights []float64, i int) Share {
	var below, total float64
	for j, weight := range weights {
		if j < i {
			below += weight
		}
		total += weight
	}
	return Share{low: below / total, high: (below + weights[i]) / total}
}

// Policy is the rule by which a target is chosen among those with free capacity: LeastExpectedCompletion, RoundRobin,
// LeastInFlight, PowerOfTwoChoices or Random.
type Policy interface{ isPolicy() }

// LeastExpectedCompletion chooses the target with the earliest expected completion of the task.
type LeastExpectedCompletion struct{}

// RoundRobin chooses the targets in turn.
type RoundRobin struct{}

// LeastInFlight chooses the target with the fewest tasks of this instance in flight per slot.
type LeastInFlight struct{}

// PowerOfTwoChoices draws two targets and chooses the one with fewer tasks of this instance in flight per slot.
type PowerOfTwoChoices struct{}

// Random chooses a random target with free capacity.
type Random struct{}

func (LeastExpectedCompletion) isPolicy() {}
func (RoundRobin) isPolicy()              {}
func (LeastInFlight) isPolicy()           {}
func (PowerOfTwoChoices) isPolicy()       {}
func (Random) isPolicy()                  {}

// Choice is the target picked for one task; it must be passed to Done exactly once.
type Choice struct {
	target   *target
	kind     int32 // index in Router.kinds
	inFlight int32 // tasks in flight on the target, including this one, when it was chosen
	chosenAt int64 // Unix time in nanoseconds
	trial    bool
}

// Name returns the name of the chosen target.
func (choice Choice) Name() string { return choice.target.name }

// Address returns the host and port of the chosen target.
func (choice Choice) Address() string { return choice.target.address }

// Trial reports whether the task tests if an ejected target has recovered.
func (choice Choice) Trial() bool { return choice.trial }

// Result is the result of a choice: Finished, Failed, Lost, NotStarted or Unused.
type Result interface{ isResult() }

// Finished means that the target returned a result.
type Finished struct{ runTime time.Duration }

// Failed means that the target ran the task and reported an error.
type Failed struct{}

// Lost means that the task may have started, but no answer arrived.
type Lost struct{}

// NotStarted means that the target provably did not start the task.
type NotStarted struct{ leaving bool }

func (Finished) isResult()   {}
func (Failed) isResult()     {}
func (Lost) isResult()       {}
func (NotStarted) isResult() {}

// NewFinished returns a result with the run time that the answer reports. With 0, the answer reports none and the
// time since the choice is used.
func NewFinished(runTime time.Duration) Finished { return Finished{runTime: runTime} }

// NewNotStarted returns the result of a rejected start; leaving means that the target takes no more tasks.
func NewNotStarted(leaving bool) NotStarted { return NotStarted{leaving: leaving} }
