package executor

import (
	"math"
	"time"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// HandleStateUpdate takes what another instance tells.
func (executor *Executor) HandleStateUpdate(from string, update linker.StateUpdate) {
	now := executor.now()
	executor.mu.Lock()
	defer executor.mu.Unlock()
	for _, claim := range update.Claims {
		executor.claimed(from, claim, now)
	}
	for _, id := range update.Withdrawn {
		executor.scheduler.HandlePeerWithdrawal(id.Target, runOf(id), now)
	}
	for _, id := range update.Stops {
		executor.scheduler.HandlePeerStop(id.Target, runOf(id))
	}
	for _, free := range update.FreeCapacity {
		resources := scheduler.Resources{MilliCores: free.MilliCores, MemoryMB: free.MemoryMB, Accelerators: free.Accelerators}
		executor.scheduler.HandlePeerReport(scheduler.CapacityReport{Target: free.Target, FreeCapacity: resources, Unreachable: free.Unreachable}, now)
	}
	if len(update.Waiting) > 0 {
		var demand scheduler.Demand
		copy(demand[:], update.Waiting)
		executor.scheduler.HandlePeerDemand(from, demand)
	}
	for _, end := range update.Ends {
		run := scheduler.Run{Task: end.Task, Attempt: end.Attempt}
		decoded := scheduler.End{Seq: end.Number, Run: run, Cause: scheduler.Cause(end.Cause)}
		executor.logEnd(end.Target, decoded, executor.self.Incarnation)
		executor.scheduler.HandleEnd(end.Target, decoded, now)
	}
	for _, job := range update.Abandoned {
		executor.abandonForeign(from, job)
	}
	executor.scheduler.Place(now)
	executor.settle()
}

// claimed takes the claim of another instance, or answers it with the end that is known already.
func (executor *Executor) claimed(from string, claim linker.Claim, now time.Time) {
	decoded := scheduler.Claim{
		Target:    claim.Target,
		Run:       scheduler.Run{Task: claim.Task, Attempt: claim.Attempt},
		Resources: scheduler.Resources{MilliCores: claim.MilliCores, MemoryMB: claim.MemoryMB, Accelerators: claim.Accelerators},
		Estimate:  time.Duration(claim.EstimateMS) * time.Millisecond,
	}
	if end, ended := executor.scheduler.HandlePeerClaim(from, decoded, now); ended {
		executor.peers.SendRunEnd(from, claim.Target, end)
		return
	}
	executor.wake(claim.Target)
}

func runOf(id linker.RunID) scheduler.Run {
	return scheduler.Run{Task: id.Task, Attempt: id.Attempt}
}

// PeerLost takes that another instance is not heard of any more.
func (executor *Executor) PeerLost(from string) {
	executor.logger.Warn("instance is not heard of", "peer", from)
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.scheduler.RemovePeer(from)
	executor.abandonForeign(from, "")
	executor.delegateGone(from)
	executor.settle()
}

// reader returns the incarnation that reads a target; the caller holds the lock.
func (executor *Executor) reader(target string) string {
	if looker, ok := executor.lookers[target]; ok {
		return looker.reader
	}
	return executor.self.Incarnation
}

// assignReaders decides anew who reads each target, if the instances or targets have changed; the caller holds the lock.
func (executor *Executor) assignReaders(now time.Time) {
	version := executor.peers.PeersVersion()
	if version == executor.assigned && !executor.reassign {
		return
	}
	executor.assigned, executor.reassign = version, false
	if delegates := executor.peers.Delegating(); delegates != executor.delegates {
		executor.delegates = delegates
		executor.logger.Info("share of jobs changed", "passes-on", delegates, "weight", executor.self.Weight)
		if delegates {
			executor.orderer.CloseIdle()
		}
	}
	staying := executor.peers.EligiblePeers()
	for _, looker := range executor.lookers {
		executor.assignReader(looker, staying, now)
	}
}

// assignReader decides who reads a target: rendezvous hashing by weight over the instances that stay and do not pass
// their jobs on, those of the target's failure domain before others. The caller holds the lock.
func (executor *Executor) assignReader(looker *looker, staying []linker.Hello, now time.Time) {
	target, ok := executor.scheduler.Target(looker.id)
	if !ok {
		return
	}
	candidates := staying
	if !executor.leaving && !executor.delegates || len(staying) == 0 {
		candidates = append([]linker.Hello{executor.self}, staying...)
	}
	best := pickReader(&target, candidates)
	looker.reader = best.Incarnation
	reads := best.Incarnation == executor.self.Incarnation
	if looker.reads.Swap(reads) != reads {
		executor.logger.Debug("reader of target changed", "target", looker.id, "own", reads, "reader", best.Name)
	}
	executor.scheduler.SetReader(looker.id, reads, now)
	executor.wake(looker.id)
}

// pickReader returns the instance that reads a target; there is at least one candidate.
func pickReader(target *scheduler.Target, candidates []linker.Hello) *linker.Hello {
	best := &candidates[0]
	bestNear, bestScore := best.Domain == target.Domain, score(target.ID, best)
	for i := range candidates[1:] {
		candidate := &candidates[i+1]
		near := candidate.Domain == target.Domain
		if bestNear && !near {
			continue
		}
		if own := score(target.ID, candidate); near != bestNear || own > bestScore {
			best, bestNear, bestScore = candidate, near, own
		}
	}
	return best
}

// score returns the weighted rendezvous score of an instance for a target.
func score(target string, instance *linker.Hello) float64 {
	return -instance.EffectiveWeight() / math.Log(scheduler.RendezvousHash(instance.Incarnation, target))
}

// Leave hands the targets that this instance reads to the others, which hear that it is about to stop. A leaving
// instance that went on reading would take the runs of the others for orphans, since their claims go elsewhere.
func (executor *Executor) Leave() {
	executor.mu.Lock()
	executor.leaving, executor.reassign = true, true
	executor.mu.Unlock()
	executor.peers.Leave()
}

// repeatClaims tells the readers of the targets of own runs again, since they may have changed or missed a claim; the
// caller holds the lock.
func (executor *Executor) repeatClaims() {
	for _, claim := range executor.scheduler.Claims() {
		executor.peers.Claim(executor.reader(claim.Target), claim)
	}
}
