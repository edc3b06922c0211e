package server

import (
	"context"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/router"
	"github.com/hyssoplift/hyssoplift/sleeper"
	"github.com/hyssoplift/hyssoplift/starter"
)

// retryDelay spaces attempts to find a target for a task that was refused by one.
const retryDelay = 5 * time.Millisecond

// taskEnd is the end of one task.
type taskEnd struct {
	index  int
	result starter.Result
}

// jobRun is a job whose tasks are being started; its fields belong to the goroutine that runs the job.
type jobRun struct {
	server  *Server
	request *request
	job     *queued
	results []starter.Result
	// ends has room for every task, so that a task that ends late does not block.
	ends    chan taskEnd
	started int
	ended   int
	// failed says that the answer cannot become complete, so that the remaining tasks would run for nothing.
	failed bool
}

// run starts every task of the job once, as the scheduler grants them, and returns the whole answer. The
// first grant has been taken from the queue before the start record was written.
func (server *Server) run(ctx context.Context, request *request, job *queued, first granted) dispatcher.Outcome {
	defer server.scheduler.leave(job)
	tasks := request.job.Tasks()
	if len(tasks) == 1 {
		return server.combine(request.job, []starter.Result{server.startTask(ctx, request, tasks[0], first)})
	}
	run := &jobRun{
		server: server, request: request, job: job,
		results: make([]starter.Result, len(tasks)), ends: make(chan taskEnd, len(tasks)),
	}
	run.start(ctx, first)
	for run.goesOn() {
		run.step(ctx)
	}
	return server.combine(request.job, run.results)
}

// goesOn says that a task is in flight or will still be started.
func (run *jobRun) goesOn() bool {
	return run.ended < run.started || run.startsMore()
}

func (run *jobRun) startsMore() bool { return !run.failed && run.started < len(run.results) }

// step waits for the next grant or end of a task, or for the end of the job's time.
func (run *jobRun) step(ctx context.Context) {
	var grants chan granted
	if run.startsMore() {
		grants = run.job.grants
	}
	select {
	case granted := <-grants:
		run.start(ctx, granted)
	case end := <-run.ends:
		run.end(end)
	case <-run.job.expired:
		run.failed = true
	case <-ctx.Done():
		run.fail()
		// Tasks in flight end with ctx; waiting for them keeps the answer whole.
		for run.ended < run.started {
			run.end(<-run.ends)
		}
	}
}

func (run *jobRun) start(ctx context.Context, granted granted) {
	index := run.started
	run.started++
	go func() {
		run.ends <- taskEnd{index, run.server.startTask(ctx, run.request, run.request.job.Tasks()[index], granted)}
	}()
}

func (run *jobRun) end(end taskEnd) {
	run.ended++
	run.results[end.index] = end.result
	if _, ok := end.result.(starter.Success); !ok {
		run.fail()
	}
}

// fail gives up the tasks that were not granted yet.
func (run *jobRun) fail() {
	if !run.failed {
		run.failed = true
		run.server.scheduler.limiter.Drop(run.job.ticket)
	}
}

// startTask starts one task at the granted target, and at another one if it provably did not start there and
// the retry budget allows it.
func (server *Server) startTask(ctx context.Context, request *request, task dispatcher.Task, granted granted) starter.Result {
	for {
		result, learned, size := server.startAt(ctx, request, task, granted.place)
		_, refused := result.(starter.NotStarted)
		if !refused || ctx.Err() != nil || !server.scheduler.limiter.AllowRetry(time.Now()) {
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
		sleeper.For(ctx, retryDelay)
	}
	return false
}

func routerResult(result starter.Result) router.Result {
	switch result := result.(type) {
	case starter.Success:
		return router.NewFinished(0)
	case starter.TaskFailed:
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
	server.meter.fates[dispatcher.FateFinished].Add(len(finished))
	if len(finished) == len(results) {
		return dispatcher.NewComplete(finished)
	}
	fates := notStarted(job)
	for i, result := range results {
		switch result := result.(type) {
		case starter.Success:
			fates[i].Fate = dispatcher.FateFinished
			continue
		case starter.NotStarted:
			fates[i].Detail = result.Detail()
		case starter.TaskFailed:
			fates[i].Fate, fates[i].Detail = dispatcher.FateFailed, result.Detail()
		case starter.Lost:
			fates[i].Fate, fates[i].Detail = dispatcher.FateUnknown, result.Detail()
		}
		server.meter.fates[fates[i].Fate].Inc()
	}
	return dispatcher.NewFailed("not every task finished", fates)
}

func notStarted(job dispatcher.Job) []dispatcher.TaskFate {
	fates := make([]dispatcher.TaskFate, len(job.Tasks()))
	for i, task := range job.Tasks() {
		fates[i] = dispatcher.TaskFate{Name: task.Name(), Fate: dispatcher.FateNotStarted}
	}
	return fates
}
