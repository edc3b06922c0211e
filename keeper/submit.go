package keeper

import (
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// Details of answers that the keeper gives itself.
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

func unknown(detail string) Decision { return Answer{Outcome: dispatcher.NewUnknown(detail)} }

// verdict is the outcome of a look-up: a decision, or a refusal to confirm, or neither for a fresh key.
type verdict struct {
	decision Decision
	refusal  *dispatcher.Refused
}

// Submit decides whether the job may start.
func (keeper *Keeper) Submit(submission Submission, now time.Time) (Decision, []Outgoing) {
	key, decision := keeper.parse(submission.Key, submission.Forwarded)
	if decision != nil {
		return decision, nil
	}
	var effects effects
	decision, refusal := keeper.shards[key.slice].submit(key, submission, now, &effects)
	return keeper.confirm(decision, refusal, now, &effects)
}

// parse returns the key, or the decision on one that this keeper can never decide.
func (keeper *Keeper) parse(text string, forwarded bool) (Key, Decision) {
	key, err := ParseKey(text)
	if err != nil {
		// No instance accepts such a key, so the refusal is true without a confirmation.
		refusal := dispatcher.NewRefused(dispatcher.ReasonInvalid, err.Error(), "Idempotency-Key", time.Time{})
		return key, Answer{Outcome: refusal}
	}
	if key.form == PlainKey || key.domain == keeper.domain {
		return key, nil
	}
	if forwarded {
		return key, unknown(detailNotOwner)
	}
	return key, ForwardDomain{Domain: key.domain}
}

func (shard *shard) submit(key Key, submission Submission, now time.Time, effects *effects) (Decision, *refusal) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	verdict := shard.judge(key, submission, now, effects)
	if verdict.decision != nil {
		return verdict.decision, nil
	}
	if verdict.refusal == nil {
		verdict.refusal = shard.bar(key, submission, now)
	}
	if verdict.refusal != nil {
		return nil, shard.refusal(key, submission, *verdict.refusal, nil, now)
	}
	return shard.start(key, submission, now, effects), nil
}

// bar returns why a fresh job may not start, if so.
func (shard *shard) bar(key Key, submission Submission, now time.Time) *dispatcher.Refused {
	var refusal dispatcher.Refused
	switch {
	case !submission.Deadline.IsZero() && now.After(submission.Deadline):
		refusal = dispatcher.NewRefused(dispatcher.ReasonDeadline, detailLate, "", time.Time{})
	case submission.Unrepeatable && key.form == PlainKey:
		refusal = dispatcher.NewRefused(dispatcher.ReasonInvalid, detailPlain, "Idempotency-Key", time.Time{})
	case shard.keeper.full():
		refusal = dispatcher.NewRefused(dispatcher.ReasonOverload, detailFull, "", now.Add(fullRetryDelay))
	default:
		return nil
	}
	return &refusal
}

// fullRetryDelay is the Retry-After of a full table; records expire continuously, so a short delay helps.
const fullRetryDelay = time.Second

// judge looks the key up and says what is known; an empty verdict means that the job is fresh here.
func (shard *shard) judge(key Key, submission Submission, now time.Time, effects *effects) verdict {
	known := shard.lookUp(key, now)
	if known != nil && known.holder == shard.self() && known.state >= StateStarted {
		// The holder answers for its own job whoever owns the slice now.
		return shard.recall(key, known, submission, effects, now)
	}
	if decision := shard.standingDecision(key, submission.Forwarded); decision != nil {
		return verdict{decision: decision}
	}
	if known != nil {
		return shard.recall(key, known, submission, effects, now)
	}
	if detail := shard.doubt(key, now); detail != "" {
		return verdict{decision: unknown(detail)}
	}
	return verdict{}
}

// lookUp returns the record of the key; one that is due to be dropped does not count, however late Expire runs.
func (shard *shard) lookUp(key Key, now time.Time) *record {
	known := shard.records[key.text]
	if known != nil && known.expires != 0 && known.expires <= now.UnixNano() && shard.attempts[key.text] == nil {
		shard.drop(key.text)
		return nil
	}
	return known
}

// standingDecision returns the decision on a key that this instance cannot decide in its view, if so.
func (shard *shard) standingDecision(key Key, forwarded bool) Decision {
	switch {
	case key.form == SoloKey:
		return shard.soloDecision(key, forwarded)
	case shard.place == nil:
		return unknown(detailNoView)
	case key.Epoch() > shard.place.number():
		return RetryLater{Outcome: dispatcher.NewUnknown(detailBehind)}
	case !shard.owns() && forwarded:
		return unknown(detailNotOwner)
	case !shard.owns():
		return Forward{To: shard.owner()}
	case !shard.synced:
		return RetryLater{Outcome: dispatcher.NewUnknown(detailNotSynced)}
	default:
		return nil
	}
}

// doubt returns why the absence of a record does not prove that the key never started, or an empty string.
func (shard *shard) doubt(key Key, now time.Time) string {
	switch {
	case key.form == IssuedKey && key.number < shard.floor:
		return detailBelowFloor
	case key.form == SoloKey && !shard.keeper.current(key.number, now):
		return detailBelowFloor
	case key.form == PlainKey && shard.shut(now):
		return detailClosed
	default:
		return ""
	}
}

// shut says whether the slice is closed to plain keys, and opens it when its time has come.
func (shard *shard) shut(now time.Time) bool {
	if shard.closed && !shard.opens.IsZero() && !now.Before(shard.opens) {
		shard.closed, shard.opens = false, time.Time{}
		if shard.last != nil {
			shard.last.Closed = false
		}
	}
	return shard.closed
}

// soloDecision returns the decision on a solo key of another incarnation: only its issuer ever starts it.
func (shard *shard) soloDecision(key Key, forwarded bool) Decision {
	if key.incarnation == shard.self() {
		return nil
	}
	if issuer, found := shard.live(key.incarnation); found && !forwarded {
		return Forward{To: issuer, ToHolder: true}
	}
	return unknown(detailOtherRun)
}

// recall answers from a record.
func (shard *shard) recall(key Key, known *record, submission Submission, effects *effects, now time.Time) verdict {
	if known.digest != submission.Digest && known.digest != (dispatcher.Digest{}) {
		refusal := dispatcher.NewRefused(dispatcher.ReasonKeyConflict, detailConflict, "Idempotency-Key", time.Time{})
		return verdict{refusal: &refusal}
	}
	if known.state == StateCancelled && known.confirmed && key.form == PlainKey {
		// A successor may have dropped its copy and started the job again, so that a paused owner has to ask.
		refusal := cancelledOutcome()
		return verdict{refusal: &refusal}
	}
	if pending := shard.attempts[key.text]; pending != nil {
		ticket := shard.keeper.ticket()
		pending.tickets = append(pending.tickets, ticket)
		return verdict{decision: Joined{Ticket: ticket}}
	}
	return verdict{decision: shard.recallSettled(key, known, submission, effects, now)}
}

func (shard *shard) recallSettled(key Key, known *record, submission Submission, effects *effects, now time.Time) Decision {
	switch {
	case known.state == StateCancelled && known.confirmed:
		return Answer{Outcome: cancelledOutcome()}
	case known.state == StateCancelled && shard.doubt(key, now) != "":
		// Without an acknowledgement a successor may have started the job, and its record may be lost.
		return unknown(shard.doubt(key, now))
	case known.state == StateCancelled:
		// The answer to come binds the key from now on, so the record must outlive it by a whole retention period.
		shard.expireLater(key, now.Add(shard.keeper.limits.Retention))
		return shard.replicate(key, submission, known, now, effects)
	case known.outcome != nil:
		return Answer{Outcome: known.outcome}
	case known.holder == shard.self() && known.state == StateFinished:
		return AnswerLost{Fate: dispatcher.FateFinished}
	case known.holder == shard.self():
		return Joined{}
	}
	if holder, found := shard.live(known.holder); found {
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

// start stores the record of a fresh job and, unless none is needed, asks for a witness.
func (shard *shard) start(key Key, submission Submission, now time.Time, effects *effects) Decision {
	added := &record{digest: submission.Digest, view: shard.place.number(), state: StatePending, holder: shard.self()}
	shard.put(key.text, added)
	if key.form == SoloKey || shard.alone() {
		added.state = StateStarted
		return StartNow{}
	}
	return shard.replicate(key, submission, added, now, effects)
}
