package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/starter"
)

// retryAfter is when a retry may help after a refusal without a better estimate.
const retryAfter = time.Second

// vet checks the job against the request's bundle and returns the refusal, if there is one.
func (server *Server) vet(exchange *exchange) (dispatcher.Refused, bool) {
	job := exchange.job
	if exchange.bundle == nil {
		return dispatcher.NewRefused(dispatcher.ReasonUnavailable, "no bundle is in force yet", "", time.Now().Add(retryAfter)), false
	}
	kind, ok := exchange.bundle.Kind(job.Kind())
	if !ok {
		return dispatcher.NewRefused(dispatcher.ReasonUnknownKind, "kind: the bundle in force has no such kind", "kind", time.Time{}), false
	}
	if _, ok := exchange.bundle.Team(job.Team()); !ok {
		return dispatcher.NewRefused(dispatcher.ReasonUnknownKind, "team: the bundle in force has no such team", "team", time.Time{}), false
	}
	if len(job.Tasks()) > kind.MaxTasks() {
		detail := fmt.Sprintf("tasks: got %d tasks, the kind allows at most %d", len(job.Tasks()), kind.MaxTasks())
		return dispatcher.NewRefused(dispatcher.ReasonImpossible, detail, "tasks", time.Time{}), false
	}
	exchange.kind = kind
	return dispatcher.Refused{}, true
}

// dispatch runs the job and answers with its outcome.
func (server *Server) dispatch(exchange *exchange) {
	if refused, ok := server.vet(exchange); !ok {
		exchange.answer(refused)
		return
	}
	// The job goes on when its caller has gone, so that a resubmission finds the answer.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(exchange.request.Context()), exchange.job.Deadline())
	defer cancel()
	exchange.answer(server.run(ctx, exchange))
}

// run starts every task of the job once and returns the whole answer.
func (server *Server) run(ctx context.Context, exchange *exchange) dispatcher.Outcome {
	targets := server.targets(exchange.bundle, exchange.kind)
	if len(targets) == 0 {
		return dispatcher.NewRefused(dispatcher.ReasonUnavailable, "the failure domain has no target for the kind", "kind", time.Time{})
	}
	tasks := exchange.job.Tasks()
	results := make([]starter.Result, len(tasks))
	var group sync.WaitGroup
	for i, task := range tasks {
		target := targets[rand.IntN(len(targets))]
		start := func() {
			results[i] = server.starter.Start(ctx, target.Address(), exchange.kind.Name(), exchange.traceParent, task)
		}
		if i == len(tasks)-1 {
			// The last task needs no goroutine of its own.
			start()
			break
		}
		group.Go(start)
	}
	group.Wait()
	return server.combine(exchange.job, results)
}

func (server *Server) targets(bundle *bundler.Bundle, kind bundler.Kind) []bundler.Target {
	var targets []bundler.Target
	for _, target := range bundle.Targets() {
		if target.FailureDomain() == server.settings.Text("failure-domain") && target.Service() == kind.Service() {
			targets = append(targets, target)
		}
	}
	return targets
}

// combine returns a complete answer if every task succeeded, and otherwise a failed or refused one without results.
func (server *Server) combine(job dispatcher.Job, results []starter.Result) dispatcher.Outcome {
	finished := make([]dispatcher.TaskResult, 0, len(results))
	fates := make([]dispatcher.TaskFate, 0, len(results))
	started := false
	for i, result := range results {
		name := job.Tasks()[i].Name()
		fate := dispatcher.TaskFate{Name: name}
		switch result := result.(type) {
		case starter.Success:
			finished = append(finished, dispatcher.TaskResult{Name: name, Result: result.Result()})
			fate.Fate = dispatcher.Finished
		case starter.NotStarted:
			fate.Fate, fate.Detail = dispatcher.NotStarted, result.Detail()
		case starter.Rejected:
			fate.Fate, fate.Detail = dispatcher.TaskFailed, result.Detail()
		case starter.Lost:
			fate.Fate, fate.Detail = dispatcher.OutcomeUnknown, result.Detail()
		}
		server.meter.fates[fate.Fate].Inc()
		started = started || fate.Fate != dispatcher.NotStarted
		fates = append(fates, fate)
	}
	switch {
	case len(finished) == len(results):
		return dispatcher.NewComplete(finished)
	case !started:
		return dispatcher.NewRefused(dispatcher.ReasonUnavailable, "no target could be reached", "", time.Now().Add(retryAfter))
	default:
		return dispatcher.NewFailed("not every task finished", fates)
	}
}
