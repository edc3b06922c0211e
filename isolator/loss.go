package isolator

import (
	"slices"
	"strings"
	"time"
)

// Evidence is what is known about a target that was lost. Higher values replace lower ones.
type Evidence int

// Evidence about a lost target. The values are sent between instances.
const (
	// Silent means that the target stopped responding; its runs may go on.
	Silent Evidence = iota + 1
	// Refused means that the target's host refuses connections, so that its process is probably gone.
	Refused
	// Restarted means that the target has another incarnation, or that its address belongs to another target; its runs
	// have ended.
	Restarted
)

// String returns the name used in logs.
func (evidence Evidence) String() string {
	switch evidence {
	case Silent:
		return "silent"
	case Refused:
		return "refused"
	case Restarted:
		return "restarted"
	}
	return "unknown"
}

// Fate is what is known about the start of a run on the incarnation of a target that was lost. Higher values replace lower
// ones.
type Fate int

// Fates of a start. The values are sent between instances.
const (
	// Claimed means that the run's instance announced the start; the request may never have reached the target.
	Claimed Fate = iota + 1
	// Unanswered means that the start request was sent and got no answer.
	Unanswered
	// Accepted means that the target accepted or listed the run.
	Accepted
)

// String returns the name used in logs.
func (fate Fate) String() string {
	switch fate {
	case Claimed:
		return "claimed"
	case Unanswered:
		return "unanswered"
	case Accepted:
		return "accepted"
	}
	return "unknown"
}

// startingPeriod is the age up to which a run counts as starting. A task that crashes its target usually does so when it
// starts.
const startingPeriod = 25 * time.Millisecond

// Suspect is a run that was on a target when it was lost.
type Suspect struct {
	Task    string
	Attempt int64
	// Route is the route of the task's job, or empty if unknown.
	Route string
	// Age is the time from the decision to start the run until the loss.
	Age  time.Duration
	Fate Fate
	// Cleared means that the target had not taken the run, or that a later run of the task succeeded.
	Cleared bool
}

// JobOf returns the ID of a task's job: task names start with the job ID and a dot.
func JobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// starting reports whether the run had just started when the target was lost.
func (suspect *Suspect) starting() bool { return suspect.Age <= startingPeriod }

// mayHaveCrashed reports whether the run may have crashed the target as it started. A claim suffices: precautions must not
// wait for news of whether the target accepted the run.
func (suspect *Suspect) mayHaveCrashed() bool { return suspect.starting() && !suspect.Cleared }

// Loss is one incarnation of a target that was lost, with the runs that were on it.
type Loss struct {
	Target      string
	Incarnation int64
	// Address is the target's address. A target may come back at the same address under another name.
	Address  string
	Evidence Evidence
	// At is when the loss was noticed first, and Observer the instance that noticed it.
	At       time.Time
	Observer string
	Suspects []Suspect
}

// clone returns a copy that shares no memory with loss.
func (loss *Loss) clone() Loss {
	copied := *loss
	copied.Suspects = slices.Clone(loss.Suspects)
	return copied
}

// find returns the given run of a task, or nil.
func (loss *Loss) find(task string, attempt int64) *Suspect {
	for i := range loss.Suspects {
		if suspect := &loss.Suspects[i]; suspect.Task == task && suspect.Attempt == attempt {
			return suspect
		}
	}
	return nil
}

// uncleared returns the run of a task that is not cleared, or nil. Of several ones it returns that of which most is known,
// and of these the youngest.
func (loss *Loss) uncleared(task string) *Suspect {
	var found *Suspect
	for i := range loss.Suspects {
		suspect := &loss.Suspects[i]
		if suspect.Task != task || suspect.Cleared {
			continue
		}
		if found == nil || suspect.Fate > found.Fate || suspect.Fate == found.Fate && suspect.Age < found.Age {
			found = suspect
		}
	}
	return found
}

// merge adds what other states about the same incarnation, and reports whether anything is new.
func (loss *Loss) merge(other *Loss) bool {
	changed := false
	if other.Evidence > loss.Evidence {
		loss.Evidence, changed = other.Evidence, true
	}
	if loss.Address == "" {
		loss.Address = other.Address
	}
	if other.At.Before(loss.At) {
		loss.At, loss.Observer = other.At, other.Observer
	}
	for _, suspect := range other.Suspects {
		known := loss.find(suspect.Task, suspect.Attempt)
		if known == nil {
			loss.Suspects = append(loss.Suspects, suspect)
			changed = true
			continue
		}
		if known.Route == "" && suspect.Route != "" {
			known.Route, changed = suspect.Route, true
		}
		if suspect.Cleared && !known.Cleared {
			known.Cleared, changed = true, true
		}
		if suspect.Fate > known.Fate {
			known.Fate, changed = suspect.Fate, true
		}
		if suspect.Age < known.Age {
			// Crossing the boundary between running and starting is the only change of the age that matters.
			changed = changed || suspect.starting() && !known.starting()
			known.Age = suspect.Age
		}
	}
	return changed
}

// explained reports whether a run that may have crashed the target had just started there.
func (loss *Loss) explained() bool {
	return slices.ContainsFunc(loss.Suspects, func(suspect Suspect) bool { return suspect.mayHaveCrashed() })
}

// involves reports whether a run of the job that is not cleared was on the target.
func (loss *Loss) involves(job string) bool {
	return slices.ContainsFunc(loss.Suspects, func(suspect Suspect) bool { return !suspect.Cleared && JobOf(suspect.Task) == job })
}

// within reports whether all suspects belong to one job, so that no other job can have crashed the target.
func (loss *Loss) within(job string) bool {
	for i := range loss.Suspects {
		if suspect := &loss.Suspects[i]; !suspect.Cleared && JobOf(suspect.Task) != job {
			return false
		}
	}
	return true
}
