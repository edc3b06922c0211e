package server

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/keeper"
	"github.com/hyssoplift/hyssoplift/limiter"
	"github.com/hyssoplift/hyssoplift/reporter"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

const (
	// undecidedTimeout covers a handover of slices, which takes a few round trips and a read of the log.
	undecidedTimeout = time.Second
	// undecidedRetryDelay is the delay between attempts while the keeper cannot decide.
	undecidedRetryDelay = 5 * time.Millisecond
)

// defaultRetryAfter is the retry time of a refusal for which there is no better estimate.
const defaultRetryAfter = time.Second

// request is a job submitted by a caller or forwarded by another instance.
type request struct {
	job         dispatcher.Job
	bundle      *bundler.Bundle
	kind        bundler.Kind
	traceParent string
	// forwarded means that another instance of this failure domain, which does not own the key, forwarded the job.
	forwarded bool
	// foreign means that an instance of another failure domain forwarded the job.
	foreign bool
	// origin is the incarnation to which the caller sent the job, or empty if it is this one.
	origin string
	// countGrant states whether this instance may count the answer in the burn report. Forwarding sets it.
	countGrant reporter.Grant
	// retryUntil is when to stop retrying while the keeper cannot decide. It is zero before the first attempt.
	retryUntil time.Time
}

// submit decides and runs the caller's job and writes its outcome.
func (server *Server) submit(exchange *exchange) {
	if exchange.key == "" {
		exchange.key = server.anonymousKey()
		exchange.job = exchange.job.WithKey(exchange.key)
	}
	// The job continues if its caller disconnects, so that a resubmission finds the answer.
	ctx := context.WithoutCancel(exchange.request.Context())
	request := &request{job: exchange.job, bundle: exchange.bundle, traceParent: exchange.traceParent}
	outcome := server.resolve(ctx, request)
	exchange.answer(outcome)
	server.countAnswer(exchange, request, outcome)
}

// validate checks the job against the request's bundle and returns the refusal, or nil.
func (request *request) validate() *dispatcher.Refused {
	job := request.job
	if request.bundle == nil {
		return newRefusal(dispatcher.ReasonUnavailable, "", "no bundle is in force yet", time.Now().Add(defaultRetryAfter))
	}
	kind, ok := request.bundle.Kind(job.Kind())
	if !ok {
		return newRefusal(dispatcher.ReasonUnknownKind, "kind", "kind: the bundle in force has no such kind", time.Time{})
	}
	if _, ok := request.bundle.Team(job.Team()); !ok {
		return newRefusal(dispatcher.ReasonUnknownKind, "team", "team: the bundle in force has no such team", time.Time{})
	}
	if len(job.Tasks()) > kind.MaxTasks() {
		detail := fmt.Sprintf("tasks: got %d tasks, the kind allows at most %d", len(job.Tasks()), kind.MaxTasks())
		return newRefusal(dispatcher.ReasonImpossible, "tasks", detail, time.Time{})
	}
	request.kind = kind
	return nil
}

func newRefusal(reason dispatcher.Reason, field, detail string, retryAt time.Time) *dispatcher.Refused {
	refused := dispatcher.NewRefused(reason, detail, field, retryAt)
	return &refused
}

// resolve returns the job's outcome. It submits the job again while the keeper cannot decide, and after the slice has
// moved to another owner in the meantime.
func (server *Server) resolve(ctx context.Context, request *request) dispatcher.Outcome {
	for {
		outcome := server.attempt(ctx, request)
		if outcome != nil {
			return outcome
		}
		if time.Now().After(request.job.Deadline()) {
			return dispatcher.NewUnknown("the slice moved between owners until the deadline")
		}
	}
}

// attempt decides the job once. A nil outcome means that the job must be submitted again.
func (server *Server) attempt(ctx context.Context, request *request) dispatcher.Outcome {
	request.countGrant = reporter.KeyOwner
	if outcome := server.forwardToHome(ctx, request); outcome != nil {
		return outcome
	}
	if refusal := request.validate(); refusal != nil {
		return server.refuse(ctx, request, *refusal)
	}
	if !server.scheduler.hasTarget(request.kind.Service()) {
		detail := "kind: the failure domain has no target for the kind"
		return server.refuse(ctx, request, *newRefusal(dispatcher.ReasonUnavailable, "kind", detail, time.Now().Add(defaultRetryAfter)))
	}
	if !server.scheduler.fitsAnyWorker(request.kind) {
		detail := "kind: its size is larger than any worker of the failure domain"
		return server.refuse(ctx, request, *newRefusal(dispatcher.ReasonImpossible, "kind", detail, time.Time{}))
	}
	if !server.wouldStart(request) {
		// Another instance decides, or the answer is known or pending, so the job needs no place in the queue.
		return server.decide(ctx, request, nil, taskGrant{})
	}
	return server.enqueue(ctx, request)
}

// wouldStart reports whether the job would be started here if it were submitted now.
func (server *Server) wouldStart(request *request) bool {
	decision, waiter := server.findJob(request.job.Key(), request.forwarded)
	if waiter != nil {
		// The submission will wait for the same confirmation.
		server.keeperDriver.cancelWait(waiter)
	}
	_, absent := decision.(keeper.Absent)
	return absent
}

// findJob asks the keeper what is known about the key.
func (server *Server) findJob(key string, forwarded bool) (keeper.Decision, *waiter) {
	return server.keeperDriver.decide(key, func() (keeper.Decision, []keeper.Outgoing) {
		return server.keeper.Find(key, forwarded, time.Now())
	})
}

// enqueue waits for the job's first grant before submitting it to the keeper, because until then nothing has started
// and the job can be refused.
func (server *Server) enqueue(ctx context.Context, request *request) dispatcher.Outcome {
	job, refused := server.scheduler.admit(request, time.Now())
	if refused != nil {
		return server.refuse(ctx, request, dispatcher.NewRefused(refused.Reason(), refused.Detail(), "", refused.RetryAt()))
	}
	select {
	case first := <-job.grants:
		return server.decide(ctx, request, job, first)
	case <-job.expired:
		server.scheduler.remove(job)
		refusal := dispatcher.NewRefused(dispatcher.ReasonDeadline, "the deadline passed before the job started", "", time.Time{})
		return server.refuse(ctx, request, refusal)
	}
}

// decide submits the job to the keeper. job is nil if it has no place in the queue.
func (server *Server) decide(ctx context.Context, request *request, job *queuedJob, first taskGrant) dispatcher.Outcome {
	submission := request.submission()
	decision, waiter := server.keeperDriver.decide(submission.Key, func() (keeper.Decision, []keeper.Outgoing) {
		return server.keeper.Submit(submission, time.Now())
	})
	start, outcome := server.carryOut(ctx, request, decision, waiter)
	if start {
		return server.runGranted(ctx, request, job, first)
	}
	if job != nil {
		server.scheduler.returnUnused(first)
		server.scheduler.remove(job)
	}
	return outcome()
}

// refuse returns the refusal once the keeper has confirmed it, or the outcome that the keeper has instead.
func (server *Server) refuse(ctx context.Context, request *request, refusal dispatcher.Refused) dispatcher.Outcome {
	submission := request.submission()
	decision, waiter := server.keeperDriver.decide(submission.Key, func() (keeper.Decision, []keeper.Outgoing) {
		return server.keeper.Refuse(submission, refusal, time.Now())
	})
	start, outcome := server.carryOut(ctx, request, decision, waiter)
	if start {
		return server.runGranted(ctx, request, nil, taskGrant{})
	}
	return outcome()
}

func (request *request) submission() keeper.Submission {
	job := request.job
	return keeper.Submission{
		Key:      job.Key(),
		Digest:   job.Digest(),
		Deadline: job.Deadline(),
		// A job of an unknown kind counts as unrepeatable, because the kind may be.
		Unrepeatable: !request.kind.Repeatable(),
		Forwarded:    request.forwarded,
	}
}

// carryOut acts on the keeper's decision and reports whether the job must be started now. If not, it returns a function
// that obtains the outcome. The function may block, as for a forward, so the caller first releases the job's place in
// the queue.
func (server *Server) carryOut(ctx context.Context, request *request, decision keeper.Decision, waiter *waiter) (start bool, outcome func() dispatcher.Outcome) {
	answer := func(outcome dispatcher.Outcome) (bool, func() dispatcher.Outcome) {
		return false, func() dispatcher.Outcome { return outcome }
	}
	switch decision := decision.(type) {
	case keeper.StartNow:
		return true, nil
	case keeper.Answer:
		return answer(decision.Outcome)
	case keeper.AnswerLost:
		return answer(lostOutcome(request.job, decision.Fate))
	case keeper.RetryLater:
		return false, func() dispatcher.Outcome { return request.waitToRetry(ctx, decision.Outcome) }
	case keeper.Forward:
		return false, func() dispatcher.Outcome { return server.forward(ctx, request, decision.To) }
	case keeper.ForwardDomain:
		return false, func() dispatcher.Outcome { return server.forwardDomain(ctx, request, decision.Domain) }
	case keeper.Joined:
		return false, func() dispatcher.Outcome { return server.awaitOutcome(request, waiter) }
	case keeper.AwaitWitness, keeper.AwaitConfirmation:
		event, ok := server.keeperDriver.wait(waiter, request.job.Deadline())
		if _, granted := event.(keeper.StartGranted); granted {
			return true, nil
		}
		return answer(eventOutcome(event, ok))
	default:
		panic(eris.Errorf("unexpected decision type %T", decision))
	}
}

// waitToRetry waits before the job is submitted again. It returns the outcome once the time for retries is over.
func (request *request) waitToRetry(ctx context.Context, outcome dispatcher.Unknown) dispatcher.Outcome {
	now := time.Now()
	if request.retryUntil.IsZero() {
		request.retryUntil = now.Add(undecidedTimeout)
	}
	if now.After(request.retryUntil) || now.After(request.job.Deadline()) {
		return outcome
	}
	sleeper.For(ctx, undecidedRetryDelay)
	return nil
}

// awaitOutcome waits for the outcome of a job that another request runs.
func (server *Server) awaitOutcome(request *request, waiter *waiter) dispatcher.Outcome {
	event, ok := server.keeperDriver.wait(waiter, request.job.Deadline())
	if granted, start := event.(keeper.StartGranted); start {
		panic(eris.Errorf("the start of job %s was granted to a request that joined it", granted.Key))
	}
	return eventOutcome(event, ok)
}

// eventOutcome returns the outcome for event, or nil if the job must be submitted again. ok is false if no event
// arrived.
func eventOutcome(event keeper.Event, ok bool) dispatcher.Outcome {
	if !ok {
		return dispatcher.NewUnknown("no decision was reached by the deadline")
	}
	switch event := event.(type) {
	case keeper.AttemptFailed:
		if event.Resubmit {
			return nil
		}
		return event.Outcome
	case keeper.RefusalConfirmed:
		return event.Refusal
	case keeper.RefusalUnconfirmed:
		return event.Outcome
	case keeper.CancelConfirmed:
		return cancelledRefusal()
	case keeper.RefusalSuperseded:
		return event.Outcome
	case keeper.OutcomeKnown:
		return event.Outcome
	default:
		panic(eris.Errorf("unexpected event type %T", event))
	}
}

// runGranted runs a job whose start record is written, and stores its outcome. A job without a place in the queue is
// enqueued now; if it is not admitted, no task is started.
func (server *Server) runGranted(ctx context.Context, request *request, job *queuedJob, first taskGrant) dispatcher.Outcome {
	ctx, cancel := context.WithDeadline(ctx, request.job.Deadline())
	defer cancel()
	outcome := server.runQueued(ctx, request, job, first)
	server.keeperDriver.finish(request.job.Key(), outcome)
	return outcome
}

// runQueued runs the job, which it first enqueues if job is nil.
func (server *Server) runQueued(ctx context.Context, request *request, job *queuedJob, first taskGrant) dispatcher.Outcome {
	if job == nil {
		var refused *limiter.Refused
		if job, refused = server.scheduler.admit(request, time.Now()); refused != nil {
			return dispatcher.NewFailed(refused.Detail(), notStartedFates(request.job))
		}
		select {
		case first = <-job.grants:
		case <-job.expired:
			server.scheduler.remove(job)
			return dispatcher.NewFailed("the deadline passed before a task started", notStartedFates(request.job))
		}
	}
	return server.run(ctx, request, job, first)
}

// lostOutcome returns the outcome of a job that started and whose answer is lost.
func lostOutcome(job dispatcher.Job, fate dispatcher.Fate) dispatcher.Outcome {
	detail := "started, outcome unknown"
	if fate == dispatcher.FateFinished {
		detail = "answer lost"
	}
	fates := make([]dispatcher.TaskFate, len(job.Tasks()))
	for i, task := range job.Tasks() {
		fates[i] = dispatcher.TaskFate{Name: task.Name(), Fate: fate, Detail: detail}
	}
	return dispatcher.NewFailed(detail, fates)
}

// cancelledRefusal returns the outcome of a cancelled job.
func cancelledRefusal() dispatcher.Refused {
	return dispatcher.NewRefused(dispatcher.ReasonCancelled, "the job was cancelled before it started", "", time.Time{})
}
