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
	// notYetPatience covers a hand-over of slices, which takes a few round trips and a read of the log.
	notYetPatience = time.Second
	// notYetDelay spaces questions to a keeper that cannot decide yet.
	notYetDelay = 5 * time.Millisecond
)

// retryAfter is when a retry may help after a refusal without a better estimate.
const retryAfter = time.Second

// request is one job on its way to an outcome, from a caller or from another instance.
type request struct {
	job         dispatcher.Job
	bundle      *bundler.Bundle
	kind        bundler.Kind
	traceParent string
	// forwarded says that an instance of the own failure domain took the job for another owner than itself.
	forwarded bool
	// foreign says that an instance of another failure domain forwarded the job.
	foreign bool
	// origin is the incarnation that the caller sent the job to, if it is not this one.
	origin string
	// grant says whether this instance is to count the answer; forwarding sets it.
	grant reporter.Grant
	// patience is until when a decision that is not possible yet is asked for again; zero before the first.
	patience time.Time
}

// submit decides and runs the caller's job and answers with its outcome.
func (server *Server) submit(exchange *exchange) {
	if exchange.key == "" {
		exchange.key = server.anonymousKey()
		exchange.job = exchange.job.WithKey(exchange.key)
	}
	// The job goes on when its caller has gone, so that a resubmission finds the answer.
	ctx := context.WithoutCancel(exchange.request.Context())
	request := &request{job: exchange.job, bundle: exchange.bundle, traceParent: exchange.traceParent}
	outcome := server.resolve(ctx, request)
	exchange.answer(outcome)
	server.countAnswer(exchange, request, outcome)
}

// vet checks the job against the request's bundle and returns the refusal, if there is one.
func (request *request) vet() *dispatcher.Refused {
	job := request.job
	if request.bundle == nil {
		return newRefusal(dispatcher.ReasonUnavailable, "", "no bundle is in force yet", time.Now().Add(retryAfter))
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

// resolve returns the job's outcome; it submits again when the slice moves to another owner meanwhile.
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

// attempt decides the job once; a nil outcome means that it must be submitted again.
func (server *Server) attempt(ctx context.Context, request *request) dispatcher.Outcome {
	request.grant = reporter.Own
	if outcome := server.forwardPlain(ctx, request); outcome != nil {
		return outcome
	}
	if refusal := request.vet(); refusal != nil {
		return server.refuse(ctx, request, *refusal)
	}
	if !server.scheduler.hasTarget(request.kind.Service()) {
		detail := "kind: the failure domain has no target for the kind"
		return server.refuse(ctx, request, *newRefusal(dispatcher.ReasonUnavailable, "kind", detail, time.Now().Add(retryAfter)))
	}
	if !server.scheduler.possible(request.kind) {
		detail := "kind: its size is larger than any worker of the failure domain"
		return server.refuse(ctx, request, *newRefusal(dispatcher.ReasonImpossible, "kind", detail, time.Time{}))
	}
	if !server.isFresh(request) {
		// Another instance decides, or the answer is known or on its way: the job needs no place in the queue.
		return server.decide(ctx, request, nil, granted{})
	}
	return server.enqueue(ctx, request)
}

// isFresh says that the job would start here now if it were submitted.
func (server *Server) isFresh(request *request) bool {
	decision, waiter := server.find(request.job.Key(), request.forwarded)
	if waiter != nil {
		// The decision on the submission waits for the same confirmation again.
		server.decider.forget(waiter)
	}
	_, fresh := decision.(keeper.Absent)
	return fresh
}

// find asks the keeper what is known of the key.
func (server *Server) find(key string, forwarded bool) (keeper.Decision, *waiter) {
	return server.decider.decide(key, func() (keeper.Decision, []keeper.Outgoing) {
		return server.keeper.Find(key, forwarded, time.Now())
	})
}

// enqueue waits for the job's first grant and then submits it to the keeper; until then it can be refused
// truthfully.
func (server *Server) enqueue(ctx context.Context, request *request) dispatcher.Outcome {
	job, refused := server.scheduler.admit(request, time.Now())
	if refused != nil {
		return server.refuse(ctx, request, dispatcher.NewRefused(refused.Reason(), refused.Detail(), "", refused.RetryAt()))
	}
	select {
	case first := <-job.grants:
		return server.decide(ctx, request, job, first)
	case <-job.expired:
		server.scheduler.leave(job)
		refusal := dispatcher.NewRefused(dispatcher.ReasonDeadline, "the deadline passed before the job started", "", time.Time{})
		return server.refuse(ctx, request, refusal)
	}
}

// decide submits the job to the keeper; job is nil if it has no place in the queue.
func (server *Server) decide(ctx context.Context, request *request, job *queued, first granted) dispatcher.Outcome {
	submission := request.submission()
	decision, waiter := server.decider.decide(submission.Key, func() (keeper.Decision, []keeper.Outgoing) {
		return server.keeper.Submit(submission, time.Now())
	})
	start, outcome := server.follow(ctx, request, decision, waiter)
	if start {
		return server.runGranted(ctx, request, job, first)
	}
	if job != nil {
		server.scheduler.giveBack(first)
		server.scheduler.leave(job)
	}
	return outcome()
}

// refuse releases the refusal once the keeper has confirmed it, or returns the answer that it has instead.
func (server *Server) refuse(ctx context.Context, request *request, refusal dispatcher.Refused) dispatcher.Outcome {
	submission := request.submission()
	decision, waiter := server.decider.decide(submission.Key, func() (keeper.Decision, []keeper.Outgoing) {
		return server.keeper.Refuse(submission, refusal, time.Now())
	})
	start, outcome := server.follow(ctx, request, decision, waiter)
	if start {
		return server.runGranted(ctx, request, nil, granted{})
	}
	return outcome()
}

func (request *request) submission() keeper.Submission {
	job := request.job
	return keeper.Submission{
		Key:      job.Key(),
		Digest:   job.Digest(),
		Deadline: job.Deadline(),
		// A kind that is not known may be one that is not repeatable.
		Unrepeatable: !request.kind.Repeatable(),
		Forwarded:    request.forwarded,
	}
}

// follow carries out the keeper's decision and reports whether the job must be started now. If not, the outcome is
// returned as a function, because a forward takes time in which the caller must not hold a place in the queue.
func (server *Server) follow(ctx context.Context, request *request, decision keeper.Decision, waiter *waiter) (start bool, outcome func() dispatcher.Outcome) {
	answer := func(outcome dispatcher.Outcome) (bool, func() dispatcher.Outcome) {
		return false, func() dispatcher.Outcome { return outcome }
	}
	switch decision := decision.(type) {
	case keeper.StartNow:
		return true, nil
	case keeper.Answer:
		return answer(decision.Outcome)
	case keeper.AnswerLost:
		return answer(lostAnswer(request.job, decision.Fate))
	case keeper.RetryLater:
		return false, func() dispatcher.Outcome { return request.pause(ctx, decision.Outcome) }
	case keeper.Forward:
		return false, func() dispatcher.Outcome { return server.forward(ctx, request, decision.To) }
	case keeper.ForwardDomain:
		return false, func() dispatcher.Outcome { return server.forwardDomain(ctx, request, decision.Domain) }
	case keeper.Joined:
		return false, func() dispatcher.Outcome { return server.await(request, waiter) }
	case keeper.AwaitWitness, keeper.AwaitConfirmation:
		event, ok := server.decider.wait(waiter, request.job.Deadline())
		if _, granted := event.(keeper.StartGranted); granted {
			return true, nil
		}
		return answer(conclude(event, ok))
	default:
		panic(eris.Errorf("decision type %T is not handled", decision))
	}
}

// pause waits before the job is submitted again; it returns the outcome once the patience has ended.
func (request *request) pause(ctx context.Context, outcome dispatcher.Unknown) dispatcher.Outcome {
	now := time.Now()
	if request.patience.IsZero() {
		request.patience = now.Add(notYetPatience)
	}
	if now.After(request.patience) || now.After(request.job.Deadline()) {
		return outcome
	}
	sleeper.For(ctx, notYetDelay)
	return nil
}

// await waits for the end of a job that another request runs.
func (server *Server) await(request *request, waiter *waiter) dispatcher.Outcome {
	event, ok := server.decider.wait(waiter, request.job.Deadline())
	if granted, start := event.(keeper.StartGranted); start {
		panic(eris.Errorf("the start of job %s was granted to a request that joined it", granted.Key))
	}
	return conclude(event, ok)
}

// conclude returns the outcome that ends a wait; nil means that the job must be submitted again.
func conclude(event keeper.Event, ok bool) dispatcher.Outcome {
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
		return cancelled()
	case keeper.RefusalSuperseded:
		return event.Outcome
	case keeper.OutcomeKnown:
		return event.Outcome
	default:
		panic(eris.Errorf("event type %T is not handled", event))
	}
}

// runGranted runs a job whose start record is in place, and stores its outcome. A job without a place in the
// queue takes one now; if there is none, nothing of it starts.
func (server *Server) runGranted(ctx context.Context, request *request, job *queued, first granted) dispatcher.Outcome {
	ctx, cancel := context.WithDeadline(ctx, request.job.Deadline())
	defer cancel()
	outcome := server.runQueued(ctx, request, job, first)
	server.decider.finish(request.job.Key(), outcome)
	return outcome
}

func (server *Server) runQueued(ctx context.Context, request *request, job *queued, first granted) dispatcher.Outcome {
	if job == nil {
		var refused *limiter.Refused
		if job, refused = server.scheduler.admit(request, time.Now()); refused != nil {
			return dispatcher.NewFailed(refused.Detail(), notStarted(request.job))
		}
		select {
		case first = <-job.grants:
		case <-job.expired:
			server.scheduler.leave(job)
			return dispatcher.NewFailed("the deadline passed before a task started", notStarted(request.job))
		}
	}
	return server.run(ctx, request, job, first)
}

// lostAnswer returns the answer to a job that started and whose answer nobody has.
func lostAnswer(job dispatcher.Job, fate dispatcher.Fate) dispatcher.Outcome {
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

func cancelled() dispatcher.Refused {
	return dispatcher.NewRefused(dispatcher.ReasonCancelled, "the job was cancelled before it started", "", time.Time{})
}
