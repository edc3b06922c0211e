package keeper_test

import (
	"fmt"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/keeper"
)

// naive is the baseline protocol: each instance keeps only the keys submitted to it. A caller without an answer
// resubmits to other instances, which do not have the key.
type naive struct {
	// Keeper provides the other methods of decider; without a view they have no effect.
	*keeper.Keeper
	seen     map[string]bool
	issued   int
	outcomes map[string]dispatcher.Outcome
}

func newNaive(simulation *simulation) *naive {
	idle := keeper.New(keeper.Member{}, domain, simulation.limits, simulation.now)
	return &naive{Keeper: idle, seen: map[string]bool{}, outcomes: map[string]dispatcher.Outcome{}}
}

func (naive *naive) Submit(submission keeper.Submission, _ time.Time) (keeper.Decision, []keeper.Outgoing) {
	if outcome, found := naive.outcomes[submission.Key]; found {
		return keeper.Answer{Outcome: outcome}, nil
	}
	if naive.seen[submission.Key] {
		return keeper.Joined{}, nil
	}
	naive.seen[submission.Key] = true
	return keeper.StartNow{}, nil
}

func (naive *naive) Refuse(submission keeper.Submission, refused dispatcher.Refused, now time.Time) (keeper.Decision, []keeper.Outgoing) {
	if naive.seen[submission.Key] {
		return naive.Submit(submission, now)
	}
	return keeper.Answer{Outcome: refused}, nil
}

func (naive *naive) Cancel(key string, _ bool, _ time.Time) (keeper.Decision, []keeper.Outgoing) {
	if naive.seen[key] {
		return keeper.AlreadyStarted{}, nil
	}
	refused := dispatcher.NewRefused(dispatcher.ReasonCancelled, "cancelled", "", time.Time{})
	naive.seen[key], naive.outcomes[key] = true, refused
	return keeper.Answer{Outcome: refused}, nil
}

func (naive *naive) Finish(key string, outcome dispatcher.Outcome, _ time.Time) ([]keeper.Event, []keeper.Outgoing) {
	naive.outcomes[key] = outcome
	return []keeper.Event{keeper.OutcomeKnown{Key: key, Outcome: outcome}}, nil
}

func (naive *naive) KeyPrefix(time.Time) string {
	naive.issued++
	return fmt.Sprintf("~%s.0.%d.", domain, naive.issued%keeper.SliceCount)
}

// Adopt ignores views.
func (naive *naive) Adopt(int64, keeper.View, time.Time) ([]keeper.Event, []keeper.Outgoing) {
	return nil, nil
}

func (naive *naive) HandedOver() bool { return true }
