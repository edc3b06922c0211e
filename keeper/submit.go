package keeper

import (
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// Details of the answers that the keeper itself gives.
const (
	detailNoView      = "this instance has no view of its failure domain yet"
	detailBehind      = "the key is newer than this instance's view"
	detailNotOwner    = "another instance decides this key"
	detailNotSynced   = "the slice is being handed over; retry"
	detailBelowFloor  = "the key is older than the start records that are known"
	detailClosed      = "starts of plain keys may have been lost; use an issued key"
	detailNoWitness   = "no other instance acknowledged the start record; retry"
	detailOtherRun    = "only the instance that issued this key decides it, and it is gone"
	detailFull        = "the table of start records is full"
	detailConflict    = "the key belongs to a job with another body"
	detailPlain       = "a kind that is not repeatable needs an issued key"
	detailLate        = "the deadline passed before the job started"
	detailCancelled   = "the job was cancelled before it started"
	detailUnconfirmed = "the refusal could not be confirmed"
)

func unknownAnswer(detail string) Decision { return Answer{Outcome: dispatcher.NewUnknown(detail)} }

// lookupResult is what a look-up of a key yields: a decision, or a refusal to confirm, or neither for a fresh key.
type lookupResult struct {
	decision Decision
	refusal  *dispatcher.Refused
}

// Submit decides whether a job may start. If it may, a witness has to store the start record first (AwaitWitness),
// unless none is needed (StartNow).
func (keeper *Keeper) Submit(submission Submission, now time.Time) (Decision, []Outgoing) {
	key, decision := keeper.parse(submission.Key, submission.Forwarded)
	if decision != nil {
		return decision, nil
	}
	var effects effects
	decision, refusal := keeper.sliceStates[key.slice].submit(key, submission, now, &effects)
	return keeper.confirm(decision, refusal, now, &effects)
}

// parse returns the key, or the decision on a key that this keeper can never decide.
func (keeper *Keeper) parse(text string, forwarded bool) (Key, Decision) {
	key, err := ParseKey(text)
	if err != nil {
		// No instance accepts such a key, so the refusal needs no confirmation.
		refusal := dispatcher.NewRefused(dispatcher.ReasonInvalid, err.Error(), "Idempotency-Key", time.Time{})
		return key, Answer{Outcome: refusal}
	}
	if key.form == PlainKey || key.domain == keeper.domain {
		return key, nil
	}
	if forwarded {
		return key, unknownAnswer(detailNotOwner)
	}
	return key, ForwardDomain{Domain: key.domain}
}

func (sliceState *sliceState) submit(key Key, submission Submission, now time.Time, effects *effects) (Decision, *refusal) {
	sliceState.mutex.Lock()
	defer sliceState.mutex.Unlock()
	result := sliceState.evaluate(key, submission, now, effects)
	if result.decision != nil {
		return result.decision, nil
	}
	if result.refusal == nil {
		result.refusal = sliceState.freshJobRefusal(key, submission, now)
	}
	if result.refusal != nil {
		return nil, sliceState.refusal(key, submission, *result.refusal, nil, now)
	}
	return sliceState.start(key, submission, now, effects), nil
}

// freshJobRefusal returns the refusal of a fresh job that may not start, or nil.
func (sliceState *sliceState) freshJobRefusal(key Key, submission Submission, now time.Time) *dispatcher.Refused {
	var refusal dispatcher.Refused
	switch {
	case !submission.Deadline.IsZero() && now.After(submission.Deadline):
		refusal = dispatcher.NewRefused(dispatcher.ReasonDeadline, detailLate, "", time.Time{})
	case submission.Unrepeatable && key.form == PlainKey:
		refusal = dispatcher.NewRefused(dispatcher.ReasonInvalid, detailPlain, "Idempotency-Key", time.Time{})
	case sliceState.keeper.tableFull():
		refusal = dispatcher.NewRefused(dispatcher.ReasonOverload, detailFull, "", now.Add(fullTableRetryDelay))
	default:
		return nil
	}
	return &refusal
}

// fullTableRetryDelay is the Retry-After of a refusal because of a full table. It is short, because records expire
// continuously.
const fullTableRetryDelay = time.Second

// evaluate returns what is known of the key; an empty result means that this instance decides the key and the job is
// fresh.
func (sliceState *sliceState) evaluate(key Key, submission Submission, now time.Time, effects *effects) lookupResult {
	known := sliceState.lookUp(key, now)
	if known != nil && known.holder == sliceState.self() && known.state >= StateStarted {
		// The holder answers for its own job, whichever member owns the slice now.
		return sliceState.answerFromRecord(key, known, submission, effects, now)
	}
	if decision := sliceState.ownershipDecision(key, submission.Forwarded); decision != nil {
		return lookupResult{decision: decision}
	}
	if known != nil {
		return sliceState.answerFromRecord(key, known, submission, effects, now)
	}
	if detail := sliceState.uncertaintyReason(key, now); detail != "" {
		return lookupResult{decision: unknownAnswer(detail)}
	}
	return lookupResult{}
}

// lookUp returns the record of the key, or nil. An expired record does not count, however late HandleDeadlines runs.
func (sliceState *sliceState) lookUp(key Key, now time.Time) *record {
	known := sliceState.records[key.text]
	if known != nil && known.expires != 0 && known.expires <= now.UnixNano() && sliceState.attempts[key.text] == nil {
		sliceState.dropRecord(key.text)
		return nil
	}
	return known
}

// ownershipDecision returns the decision on a key that this instance cannot decide in its view, or nil if it can.
func (sliceState *sliceState) ownershipDecision(key Key, forwarded bool) Decision {
	switch {
	case key.form == SoloKey:
		return sliceState.soloDecision(key, forwarded)
	case sliceState.history == nil:
		return unknownAnswer(detailNoView)
	case key.Epoch() > sliceState.history.number():
		return RetryLater{Outcome: dispatcher.NewUnknown(detailBehind)}
	case !sliceState.owns() && forwarded:
		return unknownAnswer(detailNotOwner)
	case !sliceState.owns():
		return Forward{To: sliceState.owner()}
	case !sliceState.synced:
		return RetryLater{Outcome: dispatcher.NewUnknown(detailNotSynced)}
	default:
		return nil
	}
}

// uncertaintyReason returns why the absence of a record does not prove that the job never started, or an empty string
// if it does.
func (sliceState *sliceState) uncertaintyReason(key Key, now time.Time) string {
	switch {
	case key.form == IssuedKey && key.number < sliceState.floor:
		return detailBelowFloor
	case key.form == SoloKey && !sliceState.keeper.generationValid(key.number, now):
		return detailBelowFloor
	case key.form == PlainKey && sliceState.closedToPlainKeys(now):
		return detailClosed
	default:
		return ""
	}
}

// closedToPlainKeys reports whether the slice is closed to plain keys; it opens the slice if opensAt has passed.
func (sliceState *sliceState) closedToPlainKeys(now time.Time) bool {
	if sliceState.closed && !sliceState.opensAt.IsZero() && !now.Before(sliceState.opensAt) {
		sliceState.closed, sliceState.opensAt = false, time.Time{}
		if sliceState.lastSynced != nil {
			sliceState.lastSynced.Closed = false
		}
	}
	return sliceState.closed
}

// soloDecision returns the decision on a solo key of another incarnation, or nil for one of this incarnation: only the
// issuer starts a job with a solo key.
func (sliceState *sliceState) soloDecision(key Key, forwarded bool) Decision {
	if key.incarnation == sliceState.self() {
		return nil
	}
	if issuer, found := sliceState.reachableMember(key.incarnation); found && !forwarded {
		return Forward{To: issuer, ToHolder: true}
	}
	return unknownAnswer(detailOtherRun)
}

// answerFromRecord returns the answer that follows from the record of the key.
func (sliceState *sliceState) answerFromRecord(key Key, known *record, submission Submission, effects *effects, now time.Time) lookupResult {
	if known.digest != submission.Digest && known.digest != (dispatcher.Digest{}) {
		refusal := dispatcher.NewRefused(dispatcher.ReasonKeyConflict, detailConflict, "Idempotency-Key", time.Time{})
		return lookupResult{refusal: &refusal}
	}
	if known.state == StateCancelled && known.confirmed && key.form == PlainKey {
		// If this owner was paused, a later owner may have dropped its copy and started the job again. The refusal has
		// to be confirmed.
		refusal := cancelledOutcome()
		return lookupResult{refusal: &refusal}
	}
	if pending := sliceState.attempts[key.text]; pending != nil {
		ticket := sliceState.keeper.ticket()
		pending.tickets = append(pending.tickets, ticket)
		return lookupResult{decision: Joined{Ticket: ticket}}
	}
	return lookupResult{decision: sliceState.answerWithoutAttempt(key, known, submission, effects, now)}
}

// answerWithoutAttempt is answerFromRecord for a record that does not wait for a witness.
func (sliceState *sliceState) answerWithoutAttempt(key Key, known *record, submission Submission, effects *effects, now time.Time) Decision {
	switch {
	case known.state == StateCancelled && known.confirmed:
		return Answer{Outcome: cancelledOutcome()}
	case known.state == StateCancelled && sliceState.uncertaintyReason(key, now) != "":
		// Without an acknowledgement, a later owner may have started the job, and its record may be lost.
		return unknownAnswer(sliceState.uncertaintyReason(key, now))
	case known.state == StateCancelled:
		// The answer to come protects the key from now on, so the record must be kept for another retention period.
		sliceState.expireLater(key, now.Add(sliceState.keeper.limits.Retention))
		return sliceState.replicate(key, submission, known, now, effects)
	case known.outcome != nil:
		return Answer{Outcome: known.outcome}
	case known.holder == sliceState.self() && known.state == StateFinished:
		return AnswerLost{Fate: dispatcher.FateFinished}
	case known.holder == sliceState.self():
		return Joined{}
	}
	if holder, found := sliceState.reachableMember(known.holder); found {
		return Forward{To: holder, ToHolder: true}
	}
	if known.state == StateFinished {
		return AnswerLost{Fate: dispatcher.FateFinished}
	}
	return AnswerLost{Fate: dispatcher.FateUnknown}
}

func cancelledOutcome() dispatcher.Refused {
	return dispatcher.NewRefused(dispatcher.ReasonCancelled, detailCancelled, "", time.Time{})
}

// start stores the record of a fresh job and, unless none is needed, asks a witness to store a copy.
func (sliceState *sliceState) start(key Key, submission Submission, now time.Time, effects *effects) Decision {
	added := &record{digest: submission.Digest, view: sliceState.history.number(), state: StatePending, holder: sliceState.self()}
	sliceState.putRecord(key.text, added)
	if key.form == SoloKey || sliceState.isOnlyMember() {
		added.state = StateStarted
		return StartNow{}
	}
	return sliceState.replicate(key, submission, added, now, effects)
}
