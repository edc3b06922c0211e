package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/leaser"
	"github.com/hyssoplift/hyssoplift/placer"
	"github.com/hyssoplift/hyssoplift/router"
	"github.com/hyssoplift/hyssoplift/starter"
)

const (
	// leavingSuspension is how long a worker that announced its shutdown is given no tasks. It is removed permanently
	// by a later bundle.
	leavingSuspension = time.Minute
	// usageValidity is how long a usage report accounts for the tasks of other instances, most of which take less than
	// a second.
	usageValidity = time.Second
	// usageTimeout bounds a request for a worker's usage.
	usageTimeout = 500 * time.Millisecond
)

// place is where a task is to run: runnerPlace or workerPlace.
type place interface{ isPlace() }

// runnerPlace is a runner chosen by the router.
type runnerPlace struct {
	router *router.Router
	choice router.Choice
}

// workerPlace is capacity reserved on a worker.
type workerPlace struct {
	placer  *placer.Placer
	placed  placer.Placed
	address string
}

func (runnerPlace) isPlace() {}
func (workerPlace) isPlace() {}

// releasePlace releases the place and reports how its task ended to the router or the placer.
func releasePlace(released place, result router.Result, placerResult placer.Result, now time.Time) {
	switch released := released.(type) {
	case runnerPlace:
		released.router.Done(released.choice, result, now)
	case workerPlace:
		released.placer.Release(released.placed, placerResult, now)
	}
}

// workerFleet holds the targets of a service whose targets are workers.
type workerFleet struct {
	placer    *placer.Placer
	addresses map[string]string
}

func newWorkerFleet(seed uint64) *workerFleet {
	return &workerFleet{placer: placer.New(rand.New(rand.NewPCG(seed, seed)))}
}

// update returns the fleet with the given targets. Reservations and learned resources are kept.
func (fleet *workerFleet) update(targets []bundler.Target) *workerFleet {
	next := &workerFleet{placer: fleet.placer, addresses: make(map[string]string, len(targets))}
	list := make([]placer.Worker, len(targets))
	for i, target := range targets {
		list[i] = placer.NewWorker(target.Name(), target.Rack(), target.Resources())
		next.addresses[target.Name()] = target.Address()
	}
	fleet.placer.Update(list)
	return next
}

// place reserves capacity for a task of the kind, preferably on the rack of the previous one: the tasks of a job are
// placed one after another, and a job on a single rack is affected by fewer rack failures.
func (fleet *workerFleet) place(kind bundler.Kind, now time.Time) (place, bool) {
	placed, ok := fleet.placer.Place(kind.Name(), kind.Resources(), fleet.placer.LastRack(kind.Name()), now).(placer.Placed)
	if !ok {
		return nil, false
	}
	return workerPlace{placer: fleet.placer, placed: placed, address: fleet.addresses[placed.Worker().Name()]}, true
}

// runAt runs the task at its place. It returns the result, and the results that the router and the placer derive their
// estimates from.
func (server *Server) runAt(ctx context.Context, request *request, task dispatcher.Task, at place) (starter.Result, router.Result, placer.Result) {
	if worker, ok := at.(workerPlace); ok {
		result, placerResult := server.runOnWorker(ctx, request, task, worker)
		return result, nil, placerResult
	}
	runner := at.(runnerPlace)
	result := server.starter.Start(ctx, runner.choice.Address(), request.kind.Name(), request.traceParent, task)
	return result, routerResult(result), nil
}

// runOnWorker runs the task on a worker under a lease.
func (server *Server) runOnWorker(ctx context.Context, request *request, task dispatcher.Task, at workerPlace) (starter.Result, placer.Result) {
	switch result := server.leaser.Run(ctx, at.address, request.kind.Name(), at.placed.Granted(), task).(type) {
	case leaser.Completed:
		return starter.NewSuccess(result.Result()), result.PlacerResult()
	case leaser.TaskFailed:
		return starter.NewTaskFailed(result.Detail()), result.PlacerResult()
	case leaser.NotStarted:
		server.handleRejection(ctx, at, result.Leaving())
		return starter.NewNotStarted(result.Detail(), result.Leaving()), placer.NotStarted{}
	case leaser.Lost:
		// The placer treats a worker that does not respond like one whose tasks fail.
		return starter.NewLost(result.Detail()), placer.Failed{}
	default:
		panic("unreachable: leaser.Result is sealed")
	}
}

// handleRejection suspends a worker that is leaving, and asks one without free capacity for its usage. Usage is
// requested only then, because polling every worker would cost more messages than the rejected starts that it avoids.
func (server *Server) handleRejection(ctx context.Context, at workerPlace, leaving bool) {
	name, now := at.placed.Worker().Name(), time.Now()
	if leaving {
		at.placer.Suspend(name, now.Add(leavingSuspension))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	report, err := server.leaser.Usage(ctx, at.address)
	if err != nil {
		at.placer.Suspend(name, now.Add(usageValidity))
		return
	}
	at.placer.ReportUsage(name, report.Used, now.Add(usageValidity))
}
