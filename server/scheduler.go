package server

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/keeper"
	"github.com/hyssoplift/hyssoplift/limiter"
	"github.com/hyssoplift/hyssoplift/placer"
	"github.com/hyssoplift/hyssoplift/router"
)

// schedulerInterval is how often queued jobs are checked for passed deadlines. The queue is also retried then, for
// targets that became available without a task ending.
const schedulerInterval = 20 * time.Millisecond

// taskGrant permits the start of one task at a chosen place.
type taskGrant struct {
	grant limiter.Grant
	place place
}

// queuedJob is a job admitted by the limiter.
type queuedJob struct {
	ticket limiter.Ticket
	// grants is buffered for every task, so that the scheduler never blocks on it.
	grants  chan taskGrant
	expired chan limiter.Expired
}

// scheduler assigns the tasks of admitted jobs to targets: the limiter determines their order, and the routers and
// fleets choose the targets.
type scheduler struct {
	limiter             *limiter.Limiter
	self                string
	domain              string
	currentRoutingTable atomic.Pointer[routingTable]

	mu   sync.Mutex
	jobs map[limiter.Ticket]*queuedJob
	// members are the instances that share the slots of the targets.
	members []keeper.Member
}

// routingTable is an immutable snapshot of the bundle and of the router or the fleet of workers of each service.
type routingTable struct {
	bundle  *bundler.Bundle
	routers map[string]*router.Router
	fleets  map[string]*workerFleet
}

// newScheduler returns a scheduler that checks deadlines until ctx is done.
func newScheduler(ctx context.Context, domain, self string) *scheduler {
	scheduler := &scheduler{
		limiter: limiter.New(limiter.Config{}),
		self:    self,
		domain:  domain,
		jobs:    make(map[limiter.Ticket]*queuedJob),
	}
	scheduler.currentRoutingTable.Store(&routingTable{})
	go func() {
		ticker := time.NewTicker(schedulerInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				scheduler.notifyExpired(now)
				scheduler.issueGrants(now)
			}
		}
	}()
	return scheduler
}

// configure applies the targets and limits of bundle. The routers keep what they have learned.
func (scheduler *scheduler) configure(bundle *bundler.Bundle, now time.Time) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	before := scheduler.currentRoutingTable.Load()
	next := &routingTable{bundle: bundle, routers: make(map[string]*router.Router), fleets: make(map[string]*workerFleet)}
	targets := make(map[string][]bundler.Target)
	for _, target := range bundle.Targets() {
		if target.FailureDomain() == scheduler.domain {
			targets[target.Service()] = append(targets[target.Service()], target)
		}
	}
	for name, list := range targets {
		service, _ := bundle.Service(name)
		if service.Protocol() == bundler.ProtocolWorker {
			fleet := before.fleets[name]
			if fleet == nil {
				fleet = newWorkerFleet(scheduler.seed(name))
			}
			next.fleets[name] = fleet.update(list)
			continue
		}
		next.routers[name] = scheduler.configureRouter(before.routers[name], bundle, name, list, now)
	}
	scheduler.currentRoutingTable.Store(next)
	scheduler.limiter.Configure(limiterConfig(bundle))
}

// configureRouter updates the targets and weights of the service's router, and creates the router if there is none.
func (scheduler *scheduler) configureRouter(serviceRouter *router.Router, bundle *bundler.Bundle, service string, list []bundler.Target, now time.Time) *router.Router {
	if serviceRouter == nil {
		serviceRouter = router.New(router.Config{Seed: scheduler.seed(service), Share: scheduler.share()})
	}
	serviceRouter.SetWeights(float64(bundle.Policy().ResponseTimeWeight()), float64(bundle.Policy().WastedMessageWeight()))
	targets := make([]router.Target, len(list))
	for i, target := range list {
		targets[i] = router.NewTarget(target.Name(), target.Address(), target.Slots(), false)
	}
	serviceRouter.Update(targets, now)
	return serviceRouter
}

// seed returns a seed that differs between instances, so that they do not make the same choices.
func (scheduler *scheduler) seed(service string) uint64 {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(scheduler.self + service))
	return seed.Sum64()
}

// limiterConfig returns the limits of the kinds and teams in bundle.
func limiterConfig(bundle *bundler.Bundle) limiter.Config {
	config := limiter.Config{
		Kinds:               make(map[string]limiter.KindLimits),
		TeamQuotas:          make(map[string]int),
		ResponseTimeWeight:  float64(bundle.Policy().ResponseTimeWeight()),
		WastedMessageWeight: float64(bundle.Policy().WastedMessageWeight()),
	}
	for _, kind := range bundle.Kinds() {
		config.Kinds[kind.Name()] = limiter.KindLimits{MaxTasks: kind.MaxTasks(), MaxInFlight: kind.MaxInFlight(), RunTime: kind.RunTime()}
	}
	for _, team := range bundle.Teams() {
		config.TeamQuotas[team.Name()] = team.MaxInFlight()
	}
	return config
}

// setMembers divides the slots of the targets between the members of the view.
func (scheduler *scheduler) setMembers(members []keeper.Member) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	scheduler.members = members
	share := scheduler.share()
	for _, serviceRouter := range scheduler.currentRoutingTable.Load().routers {
		serviceRouter.SetShare(share)
	}
}

// share returns this instance's share of the slots. An instance outside the view counts as one more member. The caller
// holds scheduler.mu.
func (scheduler *scheduler) share() router.Share {
	index := slices.IndexFunc(scheduler.members, func(member keeper.Member) bool { return member.Incarnation == scheduler.self })
	weights := make([]float64, len(scheduler.members), len(scheduler.members)+1)
	for i := range weights {
		weights[i] = 1
	}
	if index < 0 {
		index = len(weights)
		weights = append(weights, 1)
	}
	return router.NewShare(weights, index)
}

// hasTarget reports whether the failure domain has a target of the service.
func (scheduler *scheduler) hasTarget(service string) bool {
	routingTable := scheduler.currentRoutingTable.Load()
	return routingTable.routers[service] != nil || routingTable.fleets[service] != nil
}

// fitsAnyWorker reports whether a task of the kind fits on any worker of its service. Runners accept every task.
func (scheduler *scheduler) fitsAnyWorker(kind bundler.Kind) bool {
	fleet := scheduler.currentRoutingTable.Load().fleets[kind.Service()]
	return fleet == nil || fleet.placer.FitsAnyWorker(kind.Resources())
}

// admit submits the job to the limiter. It returns the refusal, or the admitted job, which then receives its grants.
func (scheduler *scheduler) admit(request *request, now time.Time) (*queuedJob, *limiter.Refused) {
	job := request.job
	admitted := &queuedJob{grants: make(chan taskGrant, len(job.Tasks())), expired: make(chan limiter.Expired, 1)}
	scheduler.mu.Lock()
	switch decision := scheduler.limiter.Admit(limiter.NewJob(job.Kind(), job.Team(), len(job.Tasks()), job.Deadline()), now).(type) {
	case limiter.Refused:
		scheduler.mu.Unlock()
		return nil, &decision
	case limiter.Runnable:
		admitted.ticket = decision.Ticket()
	case limiter.Queued:
		admitted.ticket = decision.Ticket()
	}
	// The lock is held until the job is registered, so that issueGrants finds the job.
	scheduler.jobs[admitted.ticket] = admitted
	scheduler.mu.Unlock()
	scheduler.issueGrants(now)
	return admitted, nil
}

// issueGrants issues all grants that the limits and the targets currently allow.
func (scheduler *scheduler) issueGrants(now time.Time) {
	for {
		routingTable := scheduler.currentRoutingTable.Load()
		var next taskGrant
		grant, ok := scheduler.limiter.Next(now, func(kind string) bool {
			var found bool
			next.place, found = routingTable.pick(kind, now)
			return found
		})
		if !ok {
			return
		}
		next.grant = grant
		scheduler.mu.Lock()
		job := scheduler.jobs[grant.Ticket()]
		if job != nil {
			job.grants <- next
		}
		scheduler.mu.Unlock()
		if job == nil {
			scheduler.returnUnused(next)
		}
	}
}

// pick chooses a place for a task of the kind.
func (routingTable *routingTable) pick(kind string, now time.Time) (place, bool) {
	if routingTable.bundle == nil {
		return nil, false
	}
	found, ok := routingTable.bundle.Kind(kind)
	if !ok {
		return nil, false
	}
	if fleet := routingTable.fleets[found.Service()]; fleet != nil {
		return fleet.place(found, now)
	}
	serviceRouter := routingTable.routers[found.Service()]
	if serviceRouter == nil {
		return nil, false
	}
	choice, ok := serviceRouter.Pick(kind, now)
	return runnerPlace{router: serviceRouter, choice: choice}, ok
}

// notifyExpired notifies queued jobs whose deadline has passed.
func (scheduler *scheduler) notifyExpired(now time.Time) {
	for _, expired := range scheduler.limiter.Expire(now) {
		scheduler.mu.Lock()
		if job := scheduler.jobs[expired.Ticket()]; job != nil {
			job.expired <- expired
		}
		scheduler.mu.Unlock()
	}
}

// release ends a granted task.
func (scheduler *scheduler) release(taskGrant taskGrant, result router.Result, placerResult placer.Result) {
	now := time.Now()
	releasePlace(taskGrant.place, result, placerResult, now)
	scheduler.limiter.Release(taskGrant.grant, now)
}

// returnUnused releases a grant whose task was not started.
func (scheduler *scheduler) returnUnused(unused taskGrant) {
	scheduler.release(unused, router.Unused{}, placer.NotStarted{})
}

// remove removes the job: pending tasks are dropped and unused grants are returned.
func (scheduler *scheduler) remove(job *queuedJob) {
	scheduler.limiter.DropWaitingTasks(job.ticket)
	scheduler.mu.Lock()
	delete(scheduler.jobs, job.ticket)
	scheduler.mu.Unlock()
	for {
		select {
		case unused := <-job.grants:
			scheduler.returnUnused(unused)
			continue
		default:
		}
		break
	}
	scheduler.issueGrants(time.Now())
}
