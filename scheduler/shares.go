package scheduler

import (
	"cmp"
	"time"

	"github.com/hyssoplift/hyssoplift/arbiter"
)

// SetShared sets whether the capacity of a service is divided among shares.
func (scheduler *Scheduler) SetShared(service string, shared bool) {
	switch {
	case !shared:
		delete(scheduler.arbiters, service)
	case scheduler.arbiters[service] == nil:
		scheduler.arbiters[service] = arbiter.New()
	}
}

const milliCoresPerCore = 1000.0

// shareJob returns what the arbiter needs to know of a job.
func (job *job) shareJob() arbiter.Job {
	described := arbiter.Job{Share: job.Share}
	for _, task := range job.tasks {
		step := task.spec()
		cores := float64(step.Resources.MilliCores) / milliCoresPerCore
		described.CoreSeconds += cores * (step.Estimate + startOverhead).Seconds()
		if task.state == waiting {
			described.Cores += cores
		}
	}
	return described
}

// recordShare records the arrival of a job at the arbiter of its service. A job that may have started was recorded when it was first
// sent.
func (scheduler *Scheduler) recordShare(job *job, now time.Time) {
	if shares, ok := scheduler.arbiters[job.Service]; ok && !job.mayHaveStarted {
		shares.Record(job.shareJob(), now)
	}
}

// admitShare reports whether the arbiter admits a job whose load is known. A job that uses lent capacity must start at once.
func (scheduler *Scheduler) admitShare(job *job, rate releaseRate, now time.Time) bool {
	shares, ok := scheduler.arbiters[job.Service]
	if !ok || job.mayHaveStarted {
		return true
	}
	service := arbiter.Service{Cores: rate.cores, FreeCores: scheduler.freeCores(job.Service, now), Waits: job.load.ExpectedWait > 0}
	decision := shares.Decide(job.shareJob(), service, now)
	if decision.Verdict != arbiter.Usual {
		job.load.Share, job.load.Shares = job.Share, decision
	}
	if decision.Verdict == arbiter.Lent {
		job.startDeadline = now
	}
	return decision.Verdict != arbiter.Refused
}

// SharesReport returns what the other instances need to know of the shares of a service, or false while they need not know.
func (scheduler *Scheduler) SharesReport(service string, now time.Time) (arbiter.Report, bool) {
	if shares, ok := scheduler.arbiters[service]; ok {
		return shares.Report(now)
	}
	return arbiter.Report{}, false
}

// HandlePeerShares records the report of another instance on the shares of a service.
func (scheduler *Scheduler) HandlePeerShares(owner, service string, report arbiter.Report, now time.Time) {
	if shares, ok := scheduler.arbiters[service]; ok {
		shares.HandleReport(owner, report, now)
	}
}

// freeCores returns the free capacity of the usable targets of a service.
func (scheduler *Scheduler) freeCores(service string, now time.Time) float64 {
	free, typical := int64(0), cmp.Or(scheduler.typicalMilliCores, defaultMilliCores)
	for _, target := range scheduler.byService[service] {
		if target.healthy(now) && !now.Before(target.excludedUntil) {
			free += target.freeSlots(Resources{MilliCores: typical}, now) * typical
		}
	}
	return float64(free) / milliCoresPerCore
}
