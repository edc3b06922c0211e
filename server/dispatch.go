package server

import (
	"context"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/router"
	"github.com/hyssoplift/hyssoplift/starter"
)

// retryDelay spaces attempts to find a target for a task that was refused by one.
const retryDelay = 5 * time.Millisecond

// taskEnd is the end of one task.
type taskEnd struct {
	index  int
	result starter.Result
}

// run starts every task of the job once, as the scheduler grants them, and returns the whole answer. The
// first grant has been taken from the queue before the start record was written.
func (server *Server) run(ctx context.Context, request *request, job *queued, first granted) dispatcher.Outcome {
	defer server.scheduler.leave(job)
	tasks := request.job.Tasks()
	results := make([]starter.Result, len(tasks))
	if len(tasks) == 1 {
		results[0] = server.startTask(ctx, request, tasks[0], first)
		return server.combine(request.job, results)
	}
	ends := make(chan taskEnd, len(tasks))
	started, ended, failed := 0, 0, false
	start := func(granted granted) {
		index := started
		started++
		go func() { ends <- taskEnd{index, server.startTask(ctx, request, tasks[index], granted)} }()
	}
	start(first)
	for ended < started || !failed && started < len(tasks) {
		grants := job.grants
		if failed || started == len(tasks) {
			grants = nil
		}
		select {
		case granted := <-grants:
			start(granted)
		case end := <-ends:
			ended++
			results[end.index] = end.result
			if _, ok := end.result.(starter.Success); !ok && !failed {
				// The answer cannot become complete, so the remaining tasks would run for nothing.
				failed = true
				server.scheduler.limiter.Drop(job.ticket)
			}
		case <-job.expired:
			failed = true
		case <-ctx.Done():
			if !failed {
				failed = true
				server.scheduler.limiter.Drop(job.ticket)
			}
			// Tasks in flight end with ctx; waiting for them keeps the answer whole.
			for ; ended < started; ended++ {
				end := <-ends
				results[end.index] = end.result
			}
		}
	}
	return server.combine(request.job, results)
}

// startTask starts one task at the granted target, and at another one if it provably did not start there and
// the retry budget allows it.
func (server *Server) startTask(ctx context.Context, request *request, task dispatcher.Task, granted granted) starter.Result {
	for {
		result, learned, size := server.startAt(ctx, request, task, granted.place)
		_, refused := result.(starter.NotStarted)
		if !refused || ctx.Err() != nil || !server.scheduler.limiter.Retry(time.Now()) {
			server.scheduler.release(granted, learned, size)
			server.scheduler.pump(time.Now())
			return result
		}
		server.meter.retries.Inc()
		endPlace(granted.place, learned, size, time.Now())
		if !server.pickAgain(ctx, request.kind.Name(), &granted) {
			server.scheduler.limiter.Release(granted.grant, time.Now())
			server.scheduler.pump(time.Now())
			return result
		}
	}
}

// pickAgain waits for another target for a task that keeps its grant.
func (server *Server) pickAgain(ctx context.Context, kind string, granted *granted) bool {
	for ctx.Err() == nil {
		chosen, ok := server.scheduler.routers.Load().pick(kind, time.Now())
		if ok {
			granted.place = chosen
			return true
		}
		sleep(ctx, retryDelay)
	}
	return false
}

func routerResult(result starter.Result) router.Result {
	switch result := result.(type) {
	case starter.Success:
		return router.NewFinished(0)
	case starter.Rejected:
		return router.Failed{}
	case starter.NotStarted:
		return router.NewNotStarted(result.Leaving())
	default:
		return router.Lost{}
	}
}

// combine returns a complete answer if every task succeeded, and otherwise a failed one without results. It
// is failed as well if no task started: after the start record a successor could not tell. A task without a
// result was not started.
func (server *Server) combine(job dispatcher.Job, results []starter.Result) dispatcher.Outcome {
	finished := make([]dispatcher.TaskResult, 0, len(results))
	for i, result := range results {
		if success, ok := result.(starter.Success); ok {
			finished = append(finished, dispatcher.TaskResult{Name: job.Tasks()[i].Name(), Result: success.Result()})
		}
	}
	server.meter.fates[dispatcher.Finished].Add(len(finished))
	if len(finished) == len(results) {
		return dispatcher.NewComplete(finished)
	}
	fates := notStarted(job)
	for i, result := range results {
		switch result := result.(type) {
		case starter.Success:
			fates[i].Fate = dispatcher.Finished
			continue
		case starter.NotStarted:
			fates[i].Detail = result.Detail()
		case starter.Rejected:
			fates[i].Fate, fates[i].Detail = dispatcher.TaskFailed, result.Detail()
		case starter.Lost:
			fates[i].Fate, fates[i].Detail = dispatcher.OutcomeUnknown, result.Detail()
		}
		server.meter.fates[fates[i].Fate].Inc()
	}
	return dispatcher.NewFailed("not every task finished", fates)
}

func notStarted(job dispatcher.Job) []dispatcher.TaskFate {
	fates := make([]dispatcher.TaskFate, len(job.Tasks()))
	for i, task := range job.Tasks() {
		fates[i] = dispatcher.TaskFate{Name: task.Name(), Fate: dispatcher.NotStarted}
	}
	return fates
}
