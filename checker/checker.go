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
	guarantee Guarantee
	subject   string
	events    []Event
}

// Guarantee returns the promise that was broken.
func (violation Violation) Guarantee() Guarantee { return violation.guarantee }

// Subject returns the key of the job, target, instance or bundle concerned.
func (violation Violation) Subject() string { return violation.subject }

// Events returns the events that contradict the promise, in order.
func (violation Violation) Events() []Event { return violation.events }

// Check returns every violation in a history; events are ordered by time, and those of one time by position.
func Check(history []Event, bounds Bounds) []Violation {
	ordered := slices.Clone(history)
	slices.SortStableFunc(ordered, func(a, b Event) int { return a.When().Compare(b.When()) })
	checker := newChecker(ordered, bounds)
	checker.checkStarts()
	checker.checkAnswers()
	checker.checkRefusals()
	checker.checkTargets()
	checker.checkStops()
	checker.checkBundles()
	return checker.violations
}

// checker indexes a history.
type checker struct {
	history     []Event
	bounds      Bounds
	submissions map[int64]Submitted
	byKey       map[string][]Submitted
	started     map[string][]TaskStarted
	// settledAt holds, for each key, when it was settled; more than once only for a plain key that was
	// submitted again after its retention.
	settledAt  map[string][]time.Time
	refusedAt  map[int64]Refused
	violations []Violation
}

func newChecker(history []Event, bounds Bounds) *checker {
	checker := &checker{
		history: history, bounds: bounds,
		submissions: map[int64]Submitted{}, byKey: map[string][]Submitted{}, started: map[string][]TaskStarted{},
		settledAt: map[string][]time.Time{}, refusedAt: map[int64]Refused{},
	}
	for _, event := range history {
		switch event := event.(type) {
		case Submitted:
			checker.submissions[event.Submission] = event
			checker.byKey[event.Key] = append(checker.byKey[event.Key], event)
		case TaskStarted:
			checker.started[event.Key] = append(checker.started[event.Key], event)
		case JobEnded:
			checker.recordSettlement(event.Key, event.Time)
		case Cancelled:
			checker.recordSettlement(event.Key, decidedAt(event.Decided, event.Time))
		case Refused:
			checker.refusedAt[event.Submission] = event
		}
	}
	return checker
}

// decidedAt returns the time of a decision, or of its receipt if that is all that is known.
func decidedAt(decided, received time.Time) time.Time {
	if decided.IsZero() {
		return received
	}
	return decided
}

// recordSettlement notes the end or cancellation of a job. What follows within the retention is a replay of it.
func (checker *checker) recordSettlement(key string, at time.Time) {
	earlier := checker.settledAt[key]
	if len(earlier) == 0 || at.After(earlier[len(earlier)-1].Add(checker.bounds.Retention)) {
		checker.settledAt[key] = append(earlier, at)
	}
}

func (checker *checker) report(guarantee Guarantee, subject string, events ...Event) {
	checker.violations = append(checker.violations, Violation{guarantee: guarantee, subject: subject, events: events})
}

// expired says that a plain key's record at an earlier time no longer binds it at a later one: it was settled
// in between, or before, and the retention has passed since.
func (checker *checker) expired(key string, earlier, later time.Time) bool {
	if strings.HasPrefix(key, "~") {
		return false
	}
	return slices.ContainsFunc(checker.settledAt[key], func(settledAt time.Time) bool {
		return !settledAt.Before(earlier) && later.After(settledAt.Add(checker.bounds.Retention))
	})
}

// checkStarts judges single-start and at-most-once.
func (checker *checker) checkStarts() {
	for _, key := range slices.Sorted(maps.Keys(checker.started)) {
		starts := checker.started[key]
		first := map[string]TaskStarted{}
		for _, start := range starts {
			earlier, repeated := first[start.Task]
			if !repeated {
				first[start.Task] = start
				continue
			}
			if checker.isUnrepeatable(key) {
				checker.report(AtMostOnce, key, earlier, start)
			}
			if checker.expired(key, earlier.Time, start.Time) {
				first[start.Task] = start
			} else {
				checker.report(SingleStart, key, earlier, start)
			}
		}
	}
}

func (checker *checker) isUnrepeatable(key string) bool {
	return slices.ContainsFunc(checker.byKey[key], func(submitted Submitted) bool { return submitted.Unrepeatable })
}

// checkAnswers judges whole-answer and own-answer.
func (checker *checker) checkAnswers() {
	answered := map[int64]Event{}
	for _, event := range checker.history {
		submission, isAnswer := answeredSubmission(event)
		if !isAnswer {
			continue
		}
		submitted, known := checker.submissions[submission]
		if earlier, twice := answered[submission]; twice {
			checker.report(OwnAnswer, submitted.Key, earlier, event)
		} else if !known {
			checker.report(OwnAnswer, "", event)
		}
		answered[submission] = event
		switch event := event.(type) {
		case CompleteAnswer:
			checker.checkCompleteAnswer(submitted, event)
		case FailedAnswer:
			if len(event.Results) > 0 {
				checker.report(WholeAnswer, submitted.Key, submitted, event)
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

// checkCompleteAnswer judges an answer that claims to be complete.
func (checker *checker) checkCompleteAnswer(submitted Submitted, answer CompleteAnswer) {
	if answer.Key != submitted.Key || answer.Digest != submitted.Digest {
		checker.report(OwnAnswer, submitted.Key, submitted, answer)
		return
	}
	if !slices.Equal(slices.Sorted(slices.Values(answer.Tasks)), slices.Sorted(slices.Values(submitted.Tasks))) {
		checker.report(WholeAnswer, submitted.Key, submitted, answer)
		return
	}
	for _, task := range submitted.Tasks {
		ran := slices.ContainsFunc(checker.started[submitted.Key], func(start TaskStarted) bool {
			return start.Task == task && start.Digest == submitted.Digest && !start.Time.After(answer.Time)
		})
		if !ran {
			checker.report(WholeAnswer, submitted.Key, submitted, answer)
			return
		}
	}
}

// checkRefusals judges true-refusal.
func (checker *checker) checkRefusals() {
	for _, event := range checker.history {
		switch event := event.(type) {
		case Refused:
			checker.checkRefusal(event)
		case Cancelled:
			checker.checkCancellation(event)
		case FailedAnswer:
			submitted := checker.submissions[event.Submission]
			for _, start := range checker.started[submitted.Key] {
				if start.Digest == submitted.Digest && slices.Contains(event.NotStarted, start.Task) && start.Time.Before(event.Time) {
					checker.report(TrueRefusal, submitted.Key, start, event)
				}
			}
		}
	}
}

// checkCancellation judges one cancellation: it denies every start, before and after it.
func (checker *checker) checkCancellation(event Cancelled) {
	decided := decidedAt(event.Decided, event.Time)
	for _, start := range checker.started[event.Key] {
		if start.Time.Before(decided) && checker.expired(event.Key, start.Time, decided) {
			continue
		}
		if start.Time.After(decided) && checker.expired(event.Key, decided.Add(-checker.bounds.Retention), start.Time) {
			continue
		}
		checker.report(TrueRefusal, event.Key, event, start)
		return
	}
}

// checkRefusal judges one refusal against every start of the same job. A start before the decision contradicts
// it. A later start does so unless a submission that was not refused asked for it: a caller that resubmits
// before it reads the refusal has asked for that start itself.
func (checker *checker) checkRefusal(refused Refused) {
	submitted := checker.submissions[refused.Submission]
	decided := decidedAt(refused.Decided, refused.Time)
	for _, start := range checker.started[submitted.Key] {
		if start.Digest != submitted.Digest || checker.expired(submitted.Key, start.Time, decided) {
			continue
		}
		if !start.Time.After(decided) || !checker.hasOpenSubmission(start) {
			checker.report(TrueRefusal, submitted.Key, submitted, start, refused)
			return
		}
	}
}

// hasOpenSubmission says that a submission made before the start had not been refused before it.
func (checker *checker) hasOpenSubmission(start TaskStarted) bool {
	return slices.ContainsFunc(checker.byKey[start.Key], func(submitted Submitted) bool {
		refused, found := checker.refusedAt[submitted.Submission]
		return submitted.Digest == start.Digest && submitted.Time.Before(start.Time) && (!found || refused.Time.After(start.Time))
	})
}

// checkTargets judges leaving-drained.
func (checker *checker) checkTargets() {
	leaving := map[string]TargetLeaving{}
	for _, event := range checker.history {
		switch event := event.(type) {
		case TargetLeaving:
			if _, found := leaving[event.Target]; !found {
				leaving[event.Target] = event
			}
		case TargetReturned:
			delete(leaving, event.Target)
		case TaskStarted:
			if sign, found := leaving[event.Target]; found && event.Time.After(sign.Time.Add(checker.bounds.Drain)) {
				checker.report(LeavingDrained, event.Target, sign, event)
			}
		}
	}
}

// checkStops judges graceful-stop.
func (checker *checker) checkStops() {
	planned := map[string]StopPlanned{}
	for _, event := range checker.history {
		switch event := event.(type) {
		case StopPlanned:
			planned[event.Instance] = event
		case RequestDropped:
			if stop, found := planned[event.Instance]; found {
				checker.report(GracefulStop, event.Instance, stop, event)
			}
		}
	}
}

// checkBundles judges bundle-in-force.
func (checker *checker) checkBundles() {
	var accepted []BundleAccepted
	served := map[string]BundleInForce{}
	unreachable := map[string]bool{}
	since := map[string]time.Time{}
	for _, event := range checker.history {
		switch event := event.(type) {
		case BundleAccepted:
			accepted = append(accepted, event)
		case InstanceUnreachable:
			unreachable[event.Instance] = true
		case InstanceReachable:
			unreachable[event.Instance], since[event.Instance] = false, event.Time
		case BundleInForce:
			if earlier := served[event.Instance]; earlier.Version > event.Version {
				checker.report(TimelyBundle, event.Instance, earlier, event)
			}
			served[event.Instance] = event
			if !unreachable[event.Instance] {
				checker.checkBundleDelay(accepted, since[event.Instance], event)
			}
		}
	}
}

// checkBundleDelay compares a served bundle with the newest that must be in force at a reachable instance.
func (checker *checker) checkBundleDelay(accepted []BundleAccepted, since time.Time, served BundleInForce) {
	due := slices.DeleteFunc(slices.Clone(accepted), func(bundle BundleAccepted) bool {
		from := bundle.Time
		if since.After(from) {
			from = since
		}
		return !served.Time.After(from.Add(checker.bounds.BundleDelay))
	})
	if len(due) == 0 {
		return
	}
	newest := slices.MaxFunc(due, func(a, b BundleAccepted) int { return cmp.Compare(a.Version, b.Version) })
	if newest.Version > served.Version {
		checker.report(TimelyBundle, served.Instance, newest, served)
	}
}
