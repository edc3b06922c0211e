package checker

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Guarantee is the name of a promise in the table of the design page.
type Guarantee string

// Promises, in the order of the table.
const (
	SingleStart    Guarantee = "single-start"
	WholeAnswer    Guarantee = "whole-answer"
	OwnAnswer      Guarantee = "own-answer"
	TrueRefusal    Guarantee = "true-refusal"
	AtMostOnce     Guarantee = "at-most-once"
	LeavingDrained Guarantee = "leaving-drained"
	GracefulStop   Guarantee = "graceful-stop"
	TimelyBundle   Guarantee = "bundle-in-force"
)

// Guarantees returns every promise, in the order of the table.
func Guarantees() []Guarantee {
	return []Guarantee{SingleStart, WholeAnswer, OwnAnswer, TrueRefusal, AtMostOnce, LeavingDrained, GracefulStop, TimelyBundle}
}

// Bounds are the times that the promises name.
type Bounds struct {
	// Retention is how long after a job's end its plain key is still protected.
	Retention time.Duration
	// Drain is how long after the first sign of leaving a target may still receive new work.
	Drain time.Duration
	// BundleDelay is how long after its acceptance a bundle may not yet be in force at a reachable instance.
	BundleDelay time.Duration
}

// DefaultBounds returns the bounds of the design page.
func DefaultBounds() Bounds {
	return Bounds{Retention: 10 * time.Minute, Drain: 5 * time.Second, BundleDelay: 10 * time.Second}
}

// Violation is one broken promise.
type Violation struct {
	promise Guarantee
	key     string
	events  []Event
}

// Guarantee returns the promise that was broken.
func (violation Violation) Guarantee() Guarantee { return violation.promise }

// Subject returns the key of the job, target, instance or bundle concerned.
func (violation Violation) Subject() string { return violation.key }

// Events returns the events that contradict the promise, in order.
func (violation Violation) Events() []Event { return violation.events }

// Check returns every violation in a history; events are ordered by time, and those of one time by position.
func Check(history []Event, bounds Bounds) []Violation {
	ordered := slices.Clone(history)
	slices.SortStableFunc(ordered, func(a, b Event) int { return a.When().Compare(b.When()) })
	judge := newJudge(ordered, bounds)
	judge.starts()
	judge.answers()
	judge.refusals()
	judge.targets()
	judge.stops()
	judge.bundles()
	return judge.violations
}

// judge indexes a history.
type judge struct {
	history     []Event
	bounds      Bounds
	submissions map[int64]Submitted
	byKey       map[string][]Submitted
	started     map[string][]TaskStarted
	// settled holds, for each key, when it was settled; more than once only for a plain key that was
	// submitted again after its retention.
	settled    map[string][]time.Time
	refusedAt  map[int64]Refused
	violations []Violation
}

func newJudge(history []Event, bounds Bounds) *judge {
	judge := &judge{
		history: history, bounds: bounds,
		submissions: map[int64]Submitted{}, byKey: map[string][]Submitted{}, started: map[string][]TaskStarted{},
		settled: map[string][]time.Time{}, refusedAt: map[int64]Refused{},
	}
	for _, event := range history {
		switch event := event.(type) {
		case Submitted:
			judge.submissions[event.Submission] = event
			judge.byKey[event.Key] = append(judge.byKey[event.Key], event)
		case TaskStarted:
			judge.started[event.Key] = append(judge.started[event.Key], event)
		case JobEnded:
			judge.settle(event.Key, event.Time)
		case Cancelled:
			judge.settle(event.Key, decidedAt(event.Decided, event.Time))
		case Refused:
			judge.refusedAt[event.Submission] = event
		}
	}
	return judge
}

// decidedAt returns the time of a decision, or of its receipt if that is all that is known.
func decidedAt(decided, received time.Time) time.Time {
	if decided.IsZero() {
		return received
	}
	return decided
}

// settle notes the end or cancellation of a job. What follows within the retention is a replay of it.
func (judge *judge) settle(key string, at time.Time) {
	earlier := judge.settled[key]
	if len(earlier) == 0 || at.After(earlier[len(earlier)-1].Add(judge.bounds.Retention)) {
		judge.settled[key] = append(earlier, at)
	}
}

func (judge *judge) violate(promise Guarantee, key string, events ...Event) {
	judge.violations = append(judge.violations, Violation{promise: promise, key: key, events: events})
}

// expired says that a plain key's record at an earlier time no longer binds it at a later one: it was settled
// in between, or before, and the retention has passed since.
func (judge *judge) expired(key string, earlier, later time.Time) bool {
	if strings.HasPrefix(key, "~") {
		return false
	}
	return slices.ContainsFunc(judge.settled[key], func(settled time.Time) bool {
		return !settled.Before(earlier) && later.After(settled.Add(judge.bounds.Retention))
	})
}

// starts judges single-start and at-most-once.
func (judge *judge) starts() {
	for _, key := range slices.Sorted(maps.Keys(judge.started)) {
		starts := judge.started[key]
		first := map[string]TaskStarted{}
		for _, start := range starts {
			earlier, repeated := first[start.Task]
			if !repeated {
				first[start.Task] = start
				continue
			}
			if judge.unrepeatable(key) {
				judge.violate(AtMostOnce, key, earlier, start)
			}
			if judge.expired(key, earlier.Time, start.Time) {
				first[start.Task] = start
			} else {
				judge.violate(SingleStart, key, earlier, start)
			}
		}
	}
}

func (judge *judge) unrepeatable(key string) bool {
	return slices.ContainsFunc(judge.byKey[key], func(submitted Submitted) bool { return submitted.Unrepeatable })
}

// answers judges whole-answer and own-answer.
func (judge *judge) answers() {
	answered := map[int64]Event{}
	for _, event := range judge.history {
		submission, isAnswer := answeredSubmission(event)
		if !isAnswer {
			continue
		}
		submitted, known := judge.submissions[submission]
		if earlier, twice := answered[submission]; twice {
			judge.violate(OwnAnswer, submitted.Key, earlier, event)
		} else if !known {
			judge.violate(OwnAnswer, "", event)
		}
		answered[submission] = event
		switch event := event.(type) {
		case CompleteAnswer:
			judge.complete(submitted, event)
		case FailedAnswer:
			if len(event.Results) > 0 {
				judge.violate(WholeAnswer, submitted.Key, submitted, event)
			}
		}
	}
}

// answeredSubmission returns the submission that the event answers, if it is an answer.
func answeredSubmission(event Event) (int64, bool) {
	switch event := event.(type) {
	case CompleteAnswer:
		return event.Submission, true
	case FailedAnswer:
		return event.Submission, true
	case Refused:
		return event.Submission, true
	case UnknownAnswer:
		return event.Submission, true
	default:
		return 0, false
	}
}

// complete judges an answer that claims to be complete.
func (judge *judge) complete(submitted Submitted, answer CompleteAnswer) {
	if answer.Key != submitted.Key || answer.Digest != submitted.Digest {
		judge.violate(OwnAnswer, submitted.Key, submitted, answer)
		return
	}
	if !slices.Equal(slices.Sorted(slices.Values(answer.Tasks)), slices.Sorted(slices.Values(submitted.Tasks))) {
		judge.violate(WholeAnswer, submitted.Key, submitted, answer)
		return
	}
	for _, task := range submitted.Tasks {
		ran := slices.ContainsFunc(judge.started[submitted.Key], func(start TaskStarted) bool {
			return start.Task == task && start.Digest == submitted.Digest && !start.Time.After(answer.Time)
		})
		if !ran {
			judge.violate(WholeAnswer, submitted.Key, submitted, answer)
			return
		}
	}
}

// refusals judges true-refusal.
func (judge *judge) refusals() {
	for _, event := range judge.history {
		switch event := event.(type) {
		case Refused:
			judge.refusal(event)
		case Cancelled:
			judge.cancelled(event)
		case FailedAnswer:
			submitted := judge.submissions[event.Submission]
			for _, start := range judge.started[submitted.Key] {
				if start.Digest == submitted.Digest && slices.Contains(event.NotStarted, start.Task) && start.Time.Before(event.Time) {
					judge.violate(TrueRefusal, submitted.Key, start, event)
				}
			}
		}
	}
}

// cancelled judges one cancellation: it denies every start, before and after it.
func (judge *judge) cancelled(event Cancelled) {
	decided := decidedAt(event.Decided, event.Time)
	for _, start := range judge.started[event.Key] {
		if start.Time.Before(decided) && judge.expired(event.Key, start.Time, decided) {
			continue
		}
		if start.Time.After(decided) && judge.expired(event.Key, decided.Add(-judge.bounds.Retention), start.Time) {
			continue
		}
		judge.violate(TrueRefusal, event.Key, event, start)
		return
	}
}

// refusal judges one refusal against every start of the same job. A start before the decision contradicts
// it. A later start does so unless a submission that was not refused asked for it: a caller that resubmits
// before it reads the refusal has asked for that start itself.
func (judge *judge) refusal(refused Refused) {
	submitted := judge.submissions[refused.Submission]
	decided := decidedAt(refused.Decided, refused.Time)
	for _, start := range judge.started[submitted.Key] {
		if start.Digest != submitted.Digest || judge.expired(submitted.Key, start.Time, decided) {
			continue
		}
		if !start.Time.After(decided) || !judge.wanted(start) {
			judge.violate(TrueRefusal, submitted.Key, submitted, start, refused)
			return
		}
	}
}

// wanted says that a submission made before the start had not been refused before it.
func (judge *judge) wanted(start TaskStarted) bool {
	return slices.ContainsFunc(judge.byKey[start.Key], func(submitted Submitted) bool {
		refused, found := judge.refusedAt[submitted.Submission]
		return submitted.Digest == start.Digest && submitted.Time.Before(start.Time) && (!found || refused.Time.After(start.Time))
	})
}

// targets judges leaving-drained.
func (judge *judge) targets() {
	leaving := map[string]TargetLeaving{}
	for _, event := range judge.history {
		switch event := event.(type) {
		case TargetLeaving:
			if _, found := leaving[event.Target]; !found {
				leaving[event.Target] = event
			}
		case TargetReturned:
			delete(leaving, event.Target)
		case TaskStarted:
			if sign, found := leaving[event.Target]; found && event.Time.After(sign.Time.Add(judge.bounds.Drain)) {
				judge.violate(LeavingDrained, event.Target, sign, event)
			}
		}
	}
}

// stops judges graceful-stop.
func (judge *judge) stops() {
	planned := map[string]StopPlanned{}
	for _, event := range judge.history {
		switch event := event.(type) {
		case StopPlanned:
			planned[event.Instance] = event
		case RequestDropped:
			if stop, found := planned[event.Instance]; found {
				judge.violate(GracefulStop, event.Instance, stop, event)
			}
		}
	}
}

// bundles judges bundle-in-force.
func (judge *judge) bundles() {
	var accepted []BundleAccepted
	served := map[string]BundleInForce{}
	unreachable := map[string]bool{}
	since := map[string]time.Time{}
	for _, event := range judge.history {
		switch event := event.(type) {
		case BundleAccepted:
			accepted = append(accepted, event)
		case InstanceUnreachable:
			unreachable[event.Instance] = true
		case InstanceReachable:
			unreachable[event.Instance], since[event.Instance] = false, event.Time
		case BundleInForce:
			if earlier := served[event.Instance]; earlier.Version > event.Version {
				judge.violate(TimelyBundle, event.Instance, earlier, event)
			}
			served[event.Instance] = event
			if !unreachable[event.Instance] {
				judge.bundleDelay(accepted, since[event.Instance], event)
			}
		}
	}
}

// bundleDelay compares a served bundle with the newest that must be in force at a reachable instance.
func (judge *judge) bundleDelay(accepted []BundleAccepted, since time.Time, served BundleInForce) {
	due := slices.DeleteFunc(slices.Clone(accepted), func(bundle BundleAccepted) bool {
		from := bundle.Time
		if since.After(from) {
			from = since
		}
		return !served.Time.After(from.Add(judge.bounds.BundleDelay))
	})
	if len(due) == 0 {
		return
	}
	newest := slices.MaxFunc(due, func(a, b BundleAccepted) int { return cmp.Compare(a.Version, b.Version) })
	if newest.Version > served.Version {
		judge.violate(TimelyBundle, served.Instance, newest, served)
	}
}
