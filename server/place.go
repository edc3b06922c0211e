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
	// leavingTime is how long a worker that said that it leaves gets nothing; the bundle drops it for good.
	leavingTime = time.Minute
	// usageTime is how long a usage report stands for other instances' tasks, most of which last under a second.
	usageTime = time.Second
	// usageTimeout bounds the request for a worker's usage.
	usageTimeout = 500 * time.Millisecond
)

// place is where one task is to run: runnerPlace or workerPlace.
type place interface{ isPlace() }

// runnerPlace is a target that the router chose.
type runnerPlace struct {
	router *router.Router
	choice router.Choice
}

// workerPlace is room on a worker.
type workerPlace struct {
	placer  *placer.Placer
	placed  placer.Placed
	address string
}

func (runnerPlace) isPlace() {}
func (workerPlace) isPlace() {}

// endPlace gives the place back and tells what became of its task.
func endPlace(ended place, result router.Result, size placer.Result, now time.Time) {
	switch ended := ended.(type) {
	case runnerPlace:
		ended.router.Done(ended.choice, result, now)
	case workerPlace:
		ended.placer.Release(ended.placed, size, now)
	}
}

// workers is the fleet of one service whose targets are workers.
type workers struct {
	placer    *placer.Placer
	addresses map[string]string
}

func newWorkers(seed uint64) *workers {
	return &workers{placer: placer.New(rand.New(rand.NewPCG(seed, seed)))}
}

// update returns the fleet with the given targets; reservations and learned sizes stay.
func (fleet *workers) update(targets []bundler.Target) *workers {
	next := &workers{placer: fleet.placer, addresses: make(map[string]string, len(targets))}
	list := make([]placer.Worker, len(targets))
	for i, target := range targets {
		list[i] = placer.NewWorker(target.Name(), target.Rack(), target.Resources())
		next.addresses[target.Name()] = target.Address()
	}
	fleet.placer.Update(list)
	return next
}

// place reserves room for a task of the kind, near the rack where the last one went: a job's tasks are placed one
// after another, and one whose tasks share a rack is lost to the failure of fewer racks.
func (fleet *workers) place(kind bundler.Kind, now time.Time) (place, bool) {
	placed, ok := fleet.placer.Place(kind.Name(), kind.Resources(), fleet.placer.LastRack(kind.Name()), now).(placer.Placed)
	if !ok {
		return nil, false
	}
	return workerPlace{placer: fleet.placer, placed: placed, address: fleet.addresses[placed.Worker().Name()]}, true
}

// startAt runs the task at its place and returns the result, with what the router and the placer learn from it.
func (server *Server) startAt(ctx context.Context, request *request, task dispatcher.Task, at place) (starter.Result, router.Result, placer.Result) {
	if worker, ok := at.(workerPlace); ok {
		result, size := server.lease(ctx, request, task, worker)
		return result, nil, size
	}
	runner := at.(runnerPlace)
	result := server.starter.Start(ctx, runner.choice.Address(), request.kind.Name(), request.traceParent, task)
	return result, routerResult(result), nil
}

// lease runs the task on a worker under a lease.
func (server *Server) lease(ctx context.Context, request *request, task dispatcher.Task, at workerPlace) (starter.Result, placer.Result) {
	switch ending := server.leaser.Run(ctx, at.address, request.kind.Name(), at.placed.Granted(), task).(type) {
	case leaser.Completed:
		return starter.NewSuccess(ending.Result()), ending.Usage()
	case leaser.TaskFailed:
		return starter.NewTaskFailed(ending.Detail()), ending.Usage()
	case leaser.NotStarted:
		server.learnRefusal(ctx, at, ending.Leaving())
		return starter.NewNotStarted(ending.Detail(), ending.Leaving()), placer.NotStarted{}
	case leaser.Lost:
		// A worker that answers nothing is as bad as one that fails what it starts.
		return starter.NewLost(ending.Detail()), placer.Failed{}
	default:
		panic("unreachable: leaser.Ending is sealed")
	}
}

// learnRefusal keeps tasks from a worker that leaves, and asks one without room what others run there. Usage is asked
// for only then: polling every worker would cost more messages than the refusals that it avoids.
func (server *Server) learnRefusal(ctx context.Context, at workerPlace, leaving bool) {
	name, now := at.placed.Worker().Name(), time.Now()
	if leaving {
		at.placer.Suspend(name, now.Add(leavingTime))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	report, err := server.leaser.Usage(ctx, at.address)
	if err != nil {
		at.placer.Suspend(name, now.Add(usageTime))
		return
	}
	at.placer.ReportUsage(name, report.Used, now.Add(usageTime))
}
