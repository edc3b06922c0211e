package router

import "time"

// Target is one target of a service in a snapshot.
type Target struct {
	name    string
	address string
	slots   int
	leaving bool
}

// NewTarget returns a target that runs slots tasks at once; a leaving target gets nothing new.
func NewTarget(name, address string, slots int, leaving bool) Target {
	return Target{name: name, address: address, slots: slots, leaving: leaving}
}

// Config holds the parameters of a router; the zero value of each field but the share is usable.
type Config struct {
	// Seed makes the choices reproducible; instances need different seeds so that they don't herd.
	Seed uint64
	// Policy is the rule of choice; nil means LeastExpected.
	Policy Policy
	// ResponseTimeWeight is the bundle's response-time-weight, at least 0.
	ResponseTimeWeight float64
	// WastedMessageWeight is the bundle's wasted-message-weight, at least 0.
	WastedMessageWeight float64
	// Share is this instance's part of the slots of its failure domain.
	Share Share
	// DisableBorrowing forbids borrowing slots beyond the share.
	DisableBorrowing bool
	// DisableEjection switches the ejection of targets off; only measurements use it.
	DisableEjection bool
}

// Share is an instance's range in the cumulative weights of the instances of its failure domain.
//
// Instances that order the members of a view alike get ranges that don't
// overlap, and so shares of each target's slots that add up to the slots.
type Share struct{ low, high float64 }

// NewShare returns the share of instance i among instances with the given weights; all must be positive.
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

// Policy is the rule by which a target is chosen among those with room: LeastExpected, RoundRobin,
// LeastInFlight, TwoChoices or Random.
type Policy interface{ isPolicy() }

// LeastExpectedCompletion chooses the target with the least expected completion time.
type LeastExpectedCompletion struct{}

// RoundRobin chooses the targets in turn.
type RoundRobin struct{}

// LeastInFlight chooses the target with the fewest own tasks in flight per slot.
type LeastInFlight struct{}

// PowerOfTwoChoices draws two targets and chooses the one with fewer own tasks in flight per slot.
type PowerOfTwoChoices struct{}

// Random chooses any target with room.
type Random struct{}

func (LeastExpectedCompletion) isPolicy() {}
func (RoundRobin) isPolicy()              {}
func (LeastInFlight) isPolicy()           {}
func (PowerOfTwoChoices) isPolicy()       {}
func (Random) isPolicy()                  {}

// Choice is one target picked for one task; it must be given back to Done exactly once.
type Choice struct {
	target   *target
	kind     int32
	inFlight int32
	at       int64
	trial    bool
}

// Name returns the name of the chosen target.
func (choice Choice) Name() string { return choice.target.name }

// Address returns the host and port of the chosen target.
func (choice Choice) Address() string { return choice.target.address }

// Trial reports whether the task tests if an ejected target may return.
func (choice Choice) Trial() bool { return choice.trial }

// Result is what became of a choice: Finished, Failed, Lost or NotStarted.
type Result interface{ isResult() }

// Finished means that the target returned a result.
type Finished struct{ runTime time.Duration }

// Failed means that the target ran the task and reported an error.
type Failed struct{}

// Lost means that the task may have started and no answer arrived.
type Lost struct{}

// NotStarted means that the target provably did not start the task.
type NotStarted struct{ leaving bool }

func (Finished) isResult()   {}
func (Failed) isResult()     {}
func (Lost) isResult()       {}
func (NotStarted) isResult() {}

// NewFinished returns a result with the run time that the answer shows; 0 means that it shows none,
// and the time since the choice counts.
func NewFinished(runTime time.Duration) Finished { return Finished{runTime: runTime} }

// NewNotStarted returns a result of a start that was refused; leaving means that the target takes no more work.
func NewNotStarted(leaving bool) NotStarted { return NotStarted{leaving: leaving} }
