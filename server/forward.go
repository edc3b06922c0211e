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

// answerGrace is how long after the deadline the owner's answer may still arrive: the owner answers a job
// that has started at its deadline.
const answerGrace = 500 * time.Millisecond

// forwardPlain forwards a plain key to its home failure domain; nil means that it is at home.
func (server *Server) forwardPlain(ctx context.Context, request *request) dispatcher.Outcome {
	key, err := keeper.ParseKey(request.job.Key())
	if err != nil || key.Form() != keeper.PlainKey {
		return nil
	}
	if request.bundle == nil {
		// Without a bundle the home of the key is not known, so no claim about the job can be made.
		return dispatcher.NewUnknown("no bundle is in force yet; retry")
	}
	home := keeper.HomeDomain(request.job.Key(), request.bundle.FailureDomains())
	switch {
	case home == server.domain():
		return nil
	case request.foreign || request.forwarded:
		// The sender has another bundle; each of two failure domains must not run the job.
		return dispatcher.NewUnknown("the instances disagree on the home of the key; retry")
	default:
		return server.forwardDomain(ctx, request, home)
	}
}

// forward asks the member to decide the job; without an answer the outcome is unknown.
func (server *Server) forward(ctx context.Context, request *request, to keeper.Member) dispatcher.Outcome {
	ctx, cancel := context.WithDeadline(ctx, request.job.Deadline().Add(answerGrace))
	defer cancel()
	response, err := server.linker.Call(ctx, to.Incarnation, server.encodeForward(request))
	return server.forwarded(request, response, err)
}

// forwardDomain asks one live instance of another failure domain to decide the job.
func (server *Server) forwardDomain(ctx context.Context, request *request, domain string) dispatcher.Outcome {
	ctx, cancel := context.WithDeadline(ctx, request.job.Deadline().Add(answerGrace))
	defer cancel()
	response, err := server.callDomain(ctx, domain, server.encodeForward(request))
	return server.forwarded(request, response, err)
}

// callDomain sends request to one live instance of another failure domain.
func (server *Server) callDomain(ctx context.Context, domain string, request linker.Request) (linker.Response, error) {
	if server.lister == nil {
		return nil, eris.Errorf("no instance list to find failure domain %s", domain)
	}
	instances, err := server.domains.instances(ctx, domain)
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
		return nil, eris.Errorf("the instance list shows no live instance of failure domain %s", domain)
	}
	return server.linker.CallRemote(ctx, live[rand.IntN(len(live))].Address, request)
}

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

func (server *Server) forwarded(request *request, response linker.Response, err error) dispatcher.Outcome {
	if err == nil {
		var outcome dispatcher.Outcome
		answer := response.(linker.ForwardAnswer)
		if outcome, err = linker.DecodeOutcome(answer.Outcome, time.Now()); err == nil {
			request.grant = reporter.Denied
			if answer.CountGranted {
				request.grant = reporter.Granted
			}
			return outcome
		}
	}
	request.grant = reporter.Unasked
	server.logger.Warn("forward without an answer", "job", request.job.Key(), "error", eris.ToString(err, false))
	return dispatcher.NewUnknown("the instance that decides this key gave no answer; retry")
}

// serveForward decides a job for another instance and sends it the answer.
func (server *Server) serveForward(from linker.Hello, forward linker.Forward) {
	number := server.drain.enter(forward.Key)
	defer server.drain.leave(number)
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
		// An answer above the links' bound cannot be sent; the sender learns at least that the tasks finished.
		answer.Outcome = linker.EncodeOutcome(lostAnswer(request.job, dispatcher.FateFinished), time.Now())
		err = server.linker.Send(from.Incarnation, answer)
	}
	if err != nil {
		server.logger.Warn("answer to a forward not sent", "job", forward.Key, "peer", from.Name, "error", eris.ToString(err, false))
	}
}
