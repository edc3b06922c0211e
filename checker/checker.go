package checker

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Guarantee is the name of a guarantee in the table of promises on the design page.
type Guarantee string

// Guarantees, in the order of the table.
const (
	// SingleStart means that each task of a job starts once, as long as the key is protected.
	SingleStart Guarantee = "single-start"
	// WholeAnswer means that a complete answer carries the results of all tasks of the job, each of which has run, and
	// that a failed answer carries none.
	WholeAnswer Guarantee = "whole-answer"
	// OwnAnswer means that each submission gets one answer, and that of its own job.
	OwnAnswer Guarantee = "own-answer"
	// TrueRefusal means that a job or task that an answer reports as not run has not run and will not run.
	TrueRefusal Guarantee = "true-refusal"
	// AtMostOnce means that a task of an unrepeatable job never starts twice.
	AtMostOnce Guarantee = "at-most-once"
	// LeavingDrained means that a leaving target gets no new work after Bounds.Drain.
	LeavingDrained Guarantee = "leaving-drained"
	// GracefulStop means that a planned stop of an instance drops no accepted request.
	GracefulStop Guarantee = "graceful-stop"
	// TimelyBundle means that an accepted bundle is in force at every reachable instance after Bounds.BundleDelay, and
	// that no instance goes back to an earlier one.
	TimelyBundle Guarantee = "bundle-in-force"
)

// Guarantees returns every guarantee, in the order of the table.
func Guarantees() []Guarantee {
	return []Guarantee{SingleStart, WholeAnswer, OwnAnswer, TrueRefusal, AtMostOnce, LeavingDrained, GracefulStop, TimelyBundle}
}

// Bounds are the time limits of the guarantees.
type Bounds struct {
	// Retention is how long a plain key is protected after its job has ended.
	Retention time.Duration
	// Drain is how long a target may still receive new work after the first sign that it leaves.
	Drain time.Duration
	// BundleDelay is the longest time from the acceptance of a bundle until it is in force at every reachable instance.
	BundleDelay time.Duration
}

// DefaultBounds returns the bounds of the design page.
func DefaultBounds() Bounds {
	return Bounds{Retention: 10 * time.Minute, Drain: 5 * time.Second, BundleDelay: 10 * time.Second}
}

// Violation is one violation of a guarantee.
type Violation struct {
	guarantee Guarantee
	subject   string
	events    []Event
}

// Guarantee returns the guarantee that was violated.
func (violation Violation) Guarantee() Guarantee { return violation.guarantee }

// Subject returns the key of the job, or the name of the target or instance, that the violation concerns.
func (violation Violation) Subject() string { return violation.subject }

// Events returns the events that contradict the guarantee, in order.
func (violation Violation) Events() []Event { return violation.events }

// Check returns every violation in a history. Events are ordered by time; those of the same time keep their order.
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

// checker indexes a history and collects the violations in it.
type checker struct {
	history          []Event
	bounds           Bounds
	submissions      map[int64]Submitted
	submissionsByKey map[string][]Submitted
	starts           map[string][]TaskStarted
	// settledAt holds, for each key, when its job ended or was cancelled. A plain key that was submitted again after
	// its retention has several times.
	settledAt  map[string][]time.Time
	refusals   map[int64]Refused
	violations []Violation
}

func newChecker(history []Event, bounds Bounds) *checker {
	checker := &checker{
		history: history, bounds: bounds,
		submissions: map[int64]Submitted{}, submissionsByKey: map[string][]Submitted{}, starts: map[string][]TaskStarted{},
		settledAt: map[string][]time.Time{}, refusals: map[int64]Refused{},
	}
	for _, event := range history {
		switch event := event.(type) {
		case Submitted:
			checker.submissions[event.Submission] = event
			checker.submissionsByKey[event.Key] = append(checker.submissionsByKey[event.Key], event)
		case TaskStarted:
			checker.starts[event.Key] = append(checker.starts[event.Key], event)
		case JobEnded:
			checker.recordSettlement(event.Key, event.Time)
		case Cancelled:
			checker.recordSettlement(event.Key, decidedAt(event.Decided, event.Time))
		case Refused:
			checker.refusals[event.Submission] = event
		}
	}
	return checker
}

// decidedAt returns the time of a decision, or of its receipt if the time of the decision is unknown.
func decidedAt(decided, received time.Time) time.Time {
	if decided.IsZero() {
		return received
	}
	return decided
}

// recordSettlement records the end or cancellation of a job. One that follows within the retention repeats the same
// answer and does not extend the protection.
func (checker *checker) recordSettlement(key string, at time.Time) {
	earlier := checker.settledAt[key]
	if len(earlier) == 0 || at.After(earlier[len(earlier)-1].Add(checker.bounds.Retention)) {
		checker.settledAt[key] = append(earlier, at)
	}
}

func (checker *checker) report(guarantee Guarantee, subject string, events ...Event) {
	checker.violations = append(checker.violations, Violation{guarantee: guarantee, subject: subject, events: events})
}

// expired reports whether the protection of a plain key from an earlier time has ended at a later one: its job was
// settled at or after the earlier time, and the retention has passed since then. Keys that begin with ~ are protected
// permanently.
func (checker *checker) expired(key string, earlier, later time.Time) bool {
	if strings.HasPrefix(key, "~") {
		return false
	}
	return slices.ContainsFunc(checker.settledAt[key], func(settledAt time.Time) bool {
		return !settledAt.Before(earlier) && later.After(settledAt.Add(checker.bounds.Retention))
	})
}

// checkStarts checks SingleStart and AtMostOnce.
func (checker *checker) checkStarts() {
	for _, key := range slices.Sorted(maps.Keys(checker.starts)) {
		starts := checker.starts[key]
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
	return slices.ContainsFunc(checker.submissionsByKey[key], func(submitted Submitted) bool { return submitted.Unrepeatable })
}

// checkAnswers checks WholeAnswer and OwnAnswer.
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

// answeredSubmission returns the submission that the event answers, and whether the event is an answer.
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

// checkCompleteAnswer checks that a complete answer belongs to the submission and covers all tasks, each of which ran.
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
		ran := slices.ContainsFunc(checker.starts[submitted.Key], func(start TaskStarted) bool {
			return start.Task == task && start.Digest == submitted.Digest && !start.Time.After(answer.Time)
		})
		if !ran {
			checker.report(WholeAnswer, submitted.Key, submitted, answer)
			return
		}
	}
}

// checkRefusals checks TrueRefusal.
func (checker *checker) checkRefusals() {
	for _, event := range checker.history {
		switch event := event.(type) {
		case Refused:
			checker.checkRefusal(event)
		case Cancelled:
			checker.checkCancellation(event)
		case FailedAnswer:
			submitted := checker.submissions[event.Submission]
			for _, start := range checker.starts[submitted.Key] {
				if start.Digest == submitted.Digest && slices.Contains(event.NotStarted, start.Task) && start.Time.Before(event.Time) {
					checker.report(TrueRefusal, submitted.Key, start, event)
				}
			}
		}
	}
}

// checkCancellation checks one cancellation. A start of the job, before or after the cancellation, contradicts it if
// the protection of the key had not ended between the two.
func (checker *checker) checkCancellation(event Cancelled) {
	decided := decidedAt(event.Decided, event.Time)
	for _, start := range checker.starts[event.Key] {
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

// checkRefusal checks one refusal against every start of the same job. A start before the decision contradicts it. A
// later start does so unless a submission that had not been refused asked for it, because a caller that resubmits
// before it receives the refusal asks for that start itself.
func (checker *checker) checkRefusal(refused Refused) {
	submitted := checker.submissions[refused.Submission]
	decided := decidedAt(refused.Decided, refused.Time)
	for _, start := range checker.starts[submitted.Key] {
		if start.Digest != submitted.Digest || checker.expired(submitted.Key, start.Time, decided) {
			continue
		}
		if !start.Time.After(decided) || !checker.hasOpenSubmission(start) {
			checker.report(TrueRefusal, submitted.Key, submitted, start, refused)
			return
		}
	}
}

// hasOpenSubmission reports whether some submission made before the start had not been refused before it.
func (checker *checker) hasOpenSubmission(start TaskStarted) bool {
	return slices.ContainsFunc(checker.submissionsByKey[start.Key], func(submitted Submitted) bool {
		refused, found := checker.refusals[submitted.Submission]
		return submitted.Digest == start.Digest && submitted.Time.Before(start.Time) && (!found || refused.Time.After(start.Time))
	})
}

// checkTargets checks LeavingDrained.
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
			if firstSign, found := leaving[event.Target]; found && event.Time.After(firstSign.Time.Add(checker.bounds.Drain)) {
				checker.report(LeavingDrained, event.Target, firstSign, event)
			}
		}
	}
}

// checkStops checks GracefulStop.
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

// checkBundles checks TimelyBundle.
func (checker *checker) checkBundles() {
	var accepted []BundleAccepted
	inForce := map[string]BundleInForce{}
	unreachable := map[string]bool{}
	reachableSince := map[string]time.Time{}
	for _, event := range checker.history {
		switch event := event.(type) {
		case BundleAccepted:
			accepted = append(accepted, event)
		case InstanceUnreachable:
			unreachable[event.Instance] = true
		case InstanceReachable:
			unreachable[event.Instance], reachableSince[event.Instance] = false, event.Time
		case BundleInForce:
			if earlier := inForce[event.Instance]; earlier.Version > event.Version {
				checker.report(TimelyBundle, event.Instance, earlier, event)
			}
			inForce[event.Instance] = event
			if !unreachable[event.Instance] {
				checker.checkBundleDelay(accepted, reachableSince[event.Instance], event)
			}
		}
	}
}

// checkBundleDelay compares the bundle in force at an instance, which has been reachable since reachableSince, with the
// newest one that must be in force there by then.
func (checker *checker) checkBundleDelay(accepted []BundleAccepted, reachableSince time.Time, inForce BundleInForce) {
	due := slices.DeleteFunc(slices.Clone(accepted), func(bundle BundleAccepted) bool {
		from := bundle.Time
		if reachableSince.After(from) {
			from = reachableSince
		}
		return !inForce.Time.After(from.Add(checker.bounds.BundleDelay))
	})
	if len(due) == 0 {
		return
	}
	newest := slices.MaxFunc(due, func(a, b BundleAccepted) int { return cmp.Compare(a.Version, b.Version) })
	if newest.Version > inForce.Version {
		checker.report(TimelyBundle, inForce.Instance, newest, inForce)
	}
}
