package server

import (
	"context"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/router"
	"github.com/hyssoplift/hyssoplift/sleeper"
	"github.com/hyssoplift/hyssoplift/starter"
)

// retryDelay is the delay between attempts to find another target for a task that a target rejected.
const retryDelay = 5 * time.Millisecond

// taskEnd is the result of one task.
type taskEnd struct {
	index  int
	result starter.Result
}

// jobRun is a job whose tasks are being started. Its fields are only accessed by the goroutine that runs the job.
type jobRun struct {
	server  *Server
	request *request
	job     *queuedJob
	results []starter.Result
	// ends is buffered for every task, so that a task that ends late does not block.
	ends    chan taskEnd
	started int
	ended   int
	// failed means that the answer can no longer be complete, so that no further tasks are started.
	failed bool
}

// run starts each task of the job once, as the scheduler grants them, and returns the outcome of the whole job. The
// first grant was received before the start record was written.
func (server *Server) run(ctx context.Context, request *request, job *queuedJob, first taskGrant) dispatcher.Outcome {
	defer server.scheduler.remove(job)
	tasks := request.job.Tasks()
	if len(tasks) == 1 {
		return server.combineResults(request.job, []starter.Result{server.startTask(ctx, request, tasks[0], first)})
	}
	run := &jobRun{
		server: server, request: request, job: job,
		results: make([]starter.Result, len(tasks)), ends: make(chan taskEnd, len(tasks)),
	}
	run.start(ctx, first)
	for run.unfinished() {
		run.step(ctx)
	}
	return server.combineResults(request.job, run.results)
}

// unfinished reports whether a task is in flight or still to be started.
func (run *jobRun) unfinished() bool {
	return run.ended < run.started || run.hasMoreToStart()
}

// hasMoreToStart reports whether further tasks are to be started.
func (run *jobRun) hasMoreToStart() bool { return !run.failed && run.started < len(run.results) }

// step waits for the next grant, the end of a task, or the expiry of the job.
func (run *jobRun) step(ctx context.Context) {
	var grants chan taskGrant
	if run.hasMoreToStart() {
		grants = run.job.grants
	}
	select {
	case taskGrant := <-grants:
		run.start(ctx, taskGrant)
	case end := <-run.ends:
		run.recordEnd(end)
	case <-run.job.expired:
		run.failed = true
	case <-ctx.Done():
		run.abort()
		// Tasks in flight end with ctx. Waiting for them lets the answer state the fate of each.
		for run.ended < run.started {
			run.recordEnd(<-run.ends)
		}
	}
}

// start starts the next task in the background.
func (run *jobRun) start(ctx context.Context, taskGrant taskGrant) {
	index := run.started
	run.started++
	go func() {
		run.ends <- taskEnd{index, run.server.startTask(ctx, run.request, run.request.job.Tasks()[index], taskGrant)}
	}()
}

// recordEnd records the result of a task, and aborts the rest of the job unless the task succeeded.
func (run *jobRun) recordEnd(end taskEnd) {
	run.ended++
	run.results[end.index] = end.result
	if _, ok := end.result.(starter.Success); !ok {
		run.abort()
	}
}

// abort drops the tasks that have not been granted yet.
func (run *jobRun) abort() {
	if !run.failed {
		run.failed = true
		run.server.scheduler.limiter.DropWaitingTasks(run.job.ticket)
	}
}

// startTask runs a task at the granted target. If the task provably did not start there, it tries again, usually on
// another target, as long as the retry budget allows it.
func (server *Server) startTask(ctx context.Context, request *request, task dispatcher.Task, taskGrant taskGrant) starter.Result {
	for {
		result, routerResult, placerResult := server.runAt(ctx, request, task, taskGrant.place)
		_, rejected := result.(starter.NotStarted)
		if !rejected || ctx.Err() != nil || !server.scheduler.limiter.AllowRetry(time.Now()) {
			server.scheduler.release(taskGrant, routerResult, placerResult)
			server.scheduler.issueGrants(time.Now())
			return result
		}
		server.meter.retries.Inc()
		releasePlace(taskGrant.place, routerResult, placerResult, time.Now())
		if !server.awaitTarget(ctx, request.kind.Name(), &taskGrant) {
			server.scheduler.limiter.Release(taskGrant.grant, time.Now())
			server.scheduler.issueGrants(time.Now())
			return result
		}
	}
}

// awaitTarget waits until the task, which keeps its grant, can be given a target again. It returns false if ctx is
// done first.
func (server *Server) awaitTarget(ctx context.Context, kind string, taskGrant *taskGrant) bool {
	for ctx.Err() == nil {
		chosen, ok := server.scheduler.currentRoutingTable.Load().pick(kind, time.Now())
		if ok {
			taskGrant.place = chosen
			return true
		}
		sleeper.For(ctx, retryDelay)
	}
	return false
}

// routerResult converts the result of a task to the router's result for the target.
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

// combineResults returns a complete outcome if every task succeeded, and otherwise a failed one without results. The
// outcome is also failed if no task started, because once the start record is written a successor cannot tell whether
// one did. A task without a result was not started.
func (server *Server) combineResults(job dispatcher.Job, results []starter.Result) dispatcher.Outcome {
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
	fates := notStartedFates(job)
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

// notStartedFates returns the fates of the tasks of a job that did not start.
func notStartedFates(job dispatcher.Job) []dispatcher.TaskFate {
	fates := make([]dispatcher.TaskFate, len(job.Tasks()))
	for i, task := range job.Tasks() {
		fates[i] = dispatcher.TaskFate{Name: task.Name(), Fate: dispatcher.FateNotStarted}
	}
	return fates
}
