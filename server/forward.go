package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/keeper"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/lister"
	"github.com/hyssoplift/hyssoplift/reporter"
)

// answerGrace is how long after the deadline the owner's answer may arrive: the owner responds at the deadline to a job
// that has started.
const answerGrace = 500 * time.Millisecond

// forwardToHome forwards a job with a plain key to the home failure domain of the key. It returns nil if that is this
// one.
func (server *Server) forwardToHome(ctx context.Context, request *request) dispatcher.Outcome {
	key, err := keeper.ParseKey(request.job.Key())
	if err != nil || key.Form() != keeper.PlainKey {
		return nil
	}
	if request.bundle == nil {
		// Without a bundle the home of the key is unknown, so the outcome of the job is unknown.
		return dispatcher.NewUnknown("no bundle is in force yet; retry")
	}
	home := keeper.HomeDomain(request.job.Key(), request.bundle.FailureDomains())
	switch {
	case home == server.domain():
		return nil
	case request.foreign || request.forwarded:
		// The sender has another bundle. If the job ran here, both failure domains could run it.
		return dispatcher.NewUnknown("the instances disagree on the home of the key; retry")
	default:
		return server.forwardDomain(ctx, request, home)
	}
}

// forward asks the member to decide the job. Without a response the outcome is unknown.
func (server *Server) forward(ctx context.Context, request *request, to keeper.Member) dispatcher.Outcome {
	ctx, cancel := context.WithDeadline(ctx, request.job.Deadline().Add(answerGrace))
	defer cancel()
	response, err := server.linker.Call(ctx, to.Incarnation, server.encodeForward(request))
	return server.forwardOutcome(request, response, err)
}

// forwardDomain asks a live instance of another failure domain to decide the job.
func (server *Server) forwardDomain(ctx context.Context, request *request, domain string) dispatcher.Outcome {
	ctx, cancel := context.WithDeadline(ctx, request.job.Deadline().Add(answerGrace))
	defer cancel()
	response, err := server.callDomain(ctx, domain, server.encodeForward(request))
	return server.forwardOutcome(request, response, err)
}

// callDomain sends request to a random live instance of another failure domain.
func (server *Server) callDomain(ctx context.Context, domain string, request linker.Request) (linker.Response, error) {
	if server.lister == nil {
		return nil, eris.Errorf("no instance list configured to find failure domain %s", domain)
	}
	instances, err := server.domainCache.instances(ctx, domain)
	if err != nil {
		return nil, err
	}
	var live []lister.Instance
	for _, instance := range instances {
		if instance.State == lister.Live {
			live = append(live, instance)
		}
	}
	if len(live) == 0 {
		return nil, eris.Errorf("instance list has no live instance of failure domain %s", domain)
	}
	return server.linker.CallRemote(ctx, live[rand.IntN(len(live))].Address, request)
}

// encodeForward returns the message that forwards the request.
func (server *Server) encodeForward(request *request) linker.Forward {
	job := request.job
	origin := request.origin
	if origin == "" {
		origin = server.self.Incarnation
	}
	tasks := make([]linker.Task, len(job.Tasks()))
	for i, task := range job.Tasks() {
		tasks[i] = linker.Task{Name: task.Name(), Payload: task.Payload()}
	}
	return linker.Forward{
		Key:         job.Key(),
		Kind:        job.Kind(),
		Team:        job.Team(),
		RemainingMS: max(time.Until(job.Deadline()).Milliseconds(), 0),
		TraceParent: request.traceParent,
		Origin:      origin,
		Tasks:       tasks,
	}
}

// forwardOutcome returns the outcome in the response to a forward, and stores whether this instance may count it.
func (server *Server) forwardOutcome(request *request, response linker.Response, err error) dispatcher.Outcome {
	if err == nil {
		var outcome dispatcher.Outcome
		answer := response.(linker.ForwardAnswer)
		if outcome, err = linker.DecodeOutcome(answer.Outcome, time.Now()); err == nil {
			request.countGrant = reporter.Denied
			if answer.CountGranted {
				request.countGrant = reporter.Granted
			}
			return outcome
		}
	}
	request.countGrant = reporter.Undecided
	server.logger.Warn("forward not answered", "job", request.job.Key(), "error", eris.ToString(err, false))
	return dispatcher.NewUnknown("the instance that decides this key gave no answer; retry")
}

// serveForward decides a job for another instance and sends the answer.
func (server *Server) serveForward(from linker.Hello, forward linker.Forward) {
	number := server.drainer.enter(forward.Key)
	defer server.drainer.exit(number)
	tasks := make([]dispatcher.Task, len(forward.Tasks))
	for i, task := range forward.Tasks {
		tasks[i] = dispatcher.NewTask(task.Name, task.Payload)
	}
	deadline := time.Now().Add(time.Duration(forward.RemainingMS) * time.Millisecond)
	request := &request{
		job:         dispatcher.NewJob(forward.Key, forward.Kind, forward.Team, deadline, tasks),
		bundle:      server.bundle.Load(),
		traceParent: forward.TraceParent,
		forwarded:   from.Domain == server.domain(),
		foreign:     from.Domain != server.domain(),
		origin:      forward.Origin,
	}
	outcome := server.resolve(context.Background(), request)
	server.meter.forwards[dispatcher.OutcomeClass(outcome)].Inc()
	answer := linker.ForwardAnswer{
		ID: forward.ID, Key: forward.Key, Outcome: linker.EncodeOutcome(outcome, time.Now()), CountGranted: server.grantCount(request),
	}
	err := server.linker.Send(from.Incarnation, answer)
	if _, complete := outcome.(dispatcher.Complete); complete && err != nil {
		// An answer above the size limit of links cannot be sent. A short one is sent instead, which states that the
		// tasks finished.
		answer.Outcome = linker.EncodeOutcome(lostOutcome(request.job, dispatcher.FateFinished), time.Now())
		err = server.linker.Send(from.Incarnation, answer)
	}
	if err != nil {
		server.logger.Warn("response to a forward not sent", "job", forward.Key, "peer", from.Name, "error", eris.ToString(err, false))
	}
}
