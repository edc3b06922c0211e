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

// schedulerInterval is how often deadlines in the queue are looked at, and the queue is tried again for
// targets that returned by themselves.
const schedulerInterval = 20 * time.Millisecond

// granted is the permission to start one task at a chosen target.
type granted struct {
	grant limiter.Grant
	place place
}

// queued is a job that the limiter has admitted.
type queued struct {
	ticket limiter.Ticket
	// grants has room for every task, so that the scheduler never blocks on it.
	grants  chan granted
	expired chan limiter.Expired
}

// scheduler hands the tasks of admitted jobs to targets: the limiter orders them, the routers choose.
type scheduler struct {
	limiter *limiter.Limiter
	self    string
	domain  string
	routers atomic.Pointer[routing]

	mu   sync.Mutex
	jobs map[limiter.Ticket]*queued
	// members are the incarnations and names that share the targets' slots.
	members []keeper.Member
}

// routing is an immutable snapshot of one router or fleet of workers per service, and of the service of each kind.
type routing struct {
	bundle   *bundler.Bundle
	services map[string]*router.Router
	fleets   map[string]*workers
}

// newScheduler returns a scheduler that follows deadlines until ctx is done.
func newScheduler(ctx context.Context, domain, self string) *scheduler {
	scheduler := &scheduler{
		limiter: limiter.New(limiter.Config{}),
		self:    self,
		domain:  domain,
		jobs:    make(map[limiter.Ticket]*queued),
	}
	scheduler.routers.Store(&routing{})
	go func() {
		ticker := time.NewTicker(schedulerInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				scheduler.expire(now)
				scheduler.pump(now)
			}
		}
	}()
	return scheduler
}

// configure puts the targets and limits of bundle in force; what the routers have learned stays.
func (scheduler *scheduler) configure(bundle *bundler.Bundle, now time.Time) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	before := scheduler.routers.Load()
	next := &routing{bundle: bundle, services: make(map[string]*router.Router), fleets: make(map[string]*workers)}
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
				fleet = newWorkers(scheduler.seed(name))
			}
			next.fleets[name] = fleet.update(list)
			continue
		}
		next.services[name] = scheduler.updateRouter(before.services[name], bundle, name, list, now)
	}
	scheduler.routers.Store(next)
	scheduler.limiter.Configure(limits(bundle))
}

// updateRouter gives the service's router its targets; it makes the router if there is none.
func (scheduler *scheduler) updateRouter(chosen *router.Router, bundle *bundler.Bundle, service string, list []bundler.Target, now time.Time) *router.Router {
	if chosen == nil {
		chosen = router.New(router.Config{Seed: scheduler.seed(service), Share: scheduler.share()})
	}
	chosen.SetWeights(float64(bundle.Policy().ResponseTimeWeight()), float64(bundle.Policy().WastedMessageWeight()))
	targets := make([]router.Target, len(list))
	for i, target := range list {
		targets[i] = router.NewTarget(target.Name(), target.Address(), target.Slots(), false)
	}
	chosen.Update(targets, now)
	return chosen
}

// seed differs between instances, so that they do not choose in step.
func (scheduler *scheduler) seed(service string) uint64 {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(scheduler.self + service))
	return seed.Sum64()
}

// limits returns the limits of the bundle's kinds and teams.
func limits(bundle *bundler.Bundle) limiter.Config {
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

// setMembers divides the targets' slots between the members of the view.
func (scheduler *scheduler) setMembers(members []keeper.Member) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	scheduler.members = members
	share := scheduler.share()
	for _, chosen := range scheduler.routers.Load().services {
		chosen.SetShare(share)
	}
}

// share returns this instance's part of the slots; outside the view it takes the part of one more member. The
// caller holds scheduler.mu.
func (scheduler *scheduler) share() router.Share {
	turn := slices.IndexFunc(scheduler.members, func(member keeper.Member) bool { return member.Incarnation == scheduler.self })
	weights := make([]float64, len(scheduler.members), len(scheduler.members)+1)
	for i := range weights {
		weights[i] = 1
	}
	if turn < 0 {
		turn = len(weights)
		weights = append(weights, 1)
	}
	return router.NewShare(weights, turn)
}

// hasTarget reports whether the failure domain has a target of the service.
func (scheduler *scheduler) hasTarget(service string) bool {
	routing := scheduler.routers.Load()
	return routing.services[service] != nil || routing.fleets[service] != nil
}

// possible reports whether a task of the kind fits on any worker of its service; runners take every task.
func (scheduler *scheduler) possible(kind bundler.Kind) bool {
	fleet := scheduler.routers.Load().fleets[kind.Service()]
	return fleet == nil || fleet.placer.FitsAnyWorker(kind.Resources())
}

// admit asks the limiter for the job; the refusal is nil if the job waits for its grants.
func (scheduler *scheduler) admit(request *request, now time.Time) (*queued, *limiter.Refused) {
	job := request.job
	admitted := &queued{grants: make(chan granted, len(job.Tasks())), expired: make(chan limiter.Expired, 1)}
	scheduler.mu.Lock()
	switch verdict := scheduler.limiter.Admit(limiter.NewJob(job.Kind(), job.Team(), len(job.Tasks()), job.Deadline()), now).(type) {
	case limiter.Refused:
		scheduler.mu.Unlock()
		return nil, &verdict
	case limiter.Runnable:
		admitted.ticket = verdict.Ticket()
	case limiter.Queued:
		admitted.ticket = verdict.Ticket()
	}
	// Registered under the lock that grants are handed out under, so that none can come before.
	scheduler.jobs[admitted.ticket] = admitted
	scheduler.mu.Unlock()
	scheduler.pump(now)
	return admitted, nil
}

// pump hands out every grant that the limits and the targets allow.
func (scheduler *scheduler) pump(now time.Time) {
	for {
		routing := scheduler.routers.Load()
		var next granted
		grant, ok := scheduler.limiter.Next(now, func(kind string) bool {
			var found bool
			next.place, found = routing.pick(kind, now)
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
			scheduler.giveBack(next)
		}
	}
}

// pick chooses a place for a task of the kind.
func (routing *routing) pick(kind string, now time.Time) (place, bool) {
	if routing.bundle == nil {
		return nil, false
	}
	found, ok := routing.bundle.Kind(kind)
	if !ok {
		return nil, false
	}
	if fleet := routing.fleets[found.Service()]; fleet != nil {
		return fleet.place(found, now)
	}
	chosen := routing.services[found.Service()]
	if chosen == nil {
		return nil, false
	}
	choice, ok := chosen.Pick(kind, now)
	return runnerPlace{router: chosen, choice: choice}, ok
}

// expire tells jobs whose deadline passed in the queue.
func (scheduler *scheduler) expire(now time.Time) {
	for _, expired := range scheduler.limiter.Expire(now) {
		scheduler.mu.Lock()
		if job := scheduler.jobs[expired.Ticket()]; job != nil {
			job.expired <- expired
		}
		scheduler.mu.Unlock()
	}
}

// release ends one granted task.
func (scheduler *scheduler) release(granted granted, result router.Result, size placer.Result) {
	now := time.Now()
	endPlace(granted.place, result, size, now)
	scheduler.limiter.Release(granted.grant, now)
}

// giveBack ends a grant whose task was not started.
func (scheduler *scheduler) giveBack(unused granted) {
	scheduler.release(unused, router.Unused{}, placer.NotStarted{})
}

// leave takes the job out: what was not granted is dropped, and grants that were not used are given back.
func (scheduler *scheduler) leave(job *queued) {
	scheduler.limiter.Drop(job.ticket)
	scheduler.mu.Lock()
	delete(scheduler.jobs, job.ticket)
	scheduler.mu.Unlock()
	for {
		select {
		case unused := <-job.grants:
			scheduler.giveBack(unused)
			continue
		default:
		}
		break
	}
	scheduler.pump(time.Now())
}
