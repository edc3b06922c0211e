package arbiter

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// averagingTime is the time constant of the demand of a share, and lastingTime that of the demand from which the level is computed.
	// A level from averages over half a second varied so much that a share in excess was admitted half as often again.
	averagingTime = 500 * time.Millisecond
	lastingTime   = 2 * time.Second
	// activeTime is how long after its last job a share counts as active; a caller with four jobs a second is then
	// inactive by chance with a probability of 0.0003.
	activeTime = 2 * time.Second
	// minAge bounds the correction of averages that have just begun.
	minAge = 50 * time.Millisecond
	// levelTTL is how long a computed level is reused.
	levelTTL = 10 * time.Millisecond
	// contendedUtilization is the part of the capacity above which demand makes a service contended.
	contendedUtilization = 0.8
	// levelUtilization is the part of the capacity for which the max-min level is computed. With 0.75, four instances at 79% of the
	// capacity refused more jobs of the others.
	levelUtilization = 0.7
	// excessMargin is the factor by which the demand of a share in excess exceeds the level, and excessDeviations by how many
	// standard deviations of a demand at the level in addition. With three, 40 equal callers were often in excess by chance.
	excessMargin     = 1.25
	excessDeviations = 5
	// reserveDeviations is how many standard deviations of the cores that the other shares use remain free beside lent capacity.
	reserveDeviations = 3
	// bucketTime is for how long tokens are collected.
	bucketTime = 500 * time.Millisecond
	// maxShares bounds the shares that are kept; the jobs of further ones are handled as without shares.
	maxShares = 4096
	// evictionInterval is the least time between two searches for inactive shares. Each visits all shares, so that a search for
	// each job of a new share would take most of a processor at 5,000 jobs a second.
	evictionInterval = 100 * time.Millisecond
)

// Job is what the arbiter knows of a job.
type Job struct {
	Share Share
	// Cores is what its tasks need that can start at once, and CoreSeconds the expected use of all of its tasks.
	Cores       float64
	CoreSeconds float64
}

// Service is the state of the targets of a service.
type Service struct {
	// Cores is the capacity that tasks can use, and FreeCores the part of it that is free.
	Cores     float64
	FreeCores float64
	// Waits means that the job would have to wait.
	Waits bool
}

// Verdict states how a job is to be admitted.
type Verdict int

// Verdicts on a job.
const (
	// Usual means that the job is handled as without shares.
	Usual Verdict = iota
	// Lent means that the job uses capacity that other shares do not need now; it must not wait.
	Lent
	// Refused means that the share has used its part of the capacity and that none can be lent.
	Refused
)

// Decision is a verdict and what it was derived from, in cores.
type Decision struct {
	Verdict Verdict
	// Demand is what the share requests, Level what each share may use, and Lendable the capacity that could be lent.
	Demand, Level, Lendable float64
}

// Arbiter divides the capacity of one service among shares. It is not safe for concurrent use.
type Arbiter struct {
	shares map[Share]*share
	// reports holds the latest report of each other instance.
	reports    map[string]receivedReport
	level      level
	levelUntil time.Time
	// since is when the first job arrived, and reportsUntil until when the shares are reported.
	since        time.Time
	reportsUntil time.Time
	// evictAt is when inactive shares may be dropped again to make room.
	evictAt time.Time
}

// share is the state of a share at this instance.
type share struct {
	averages averages
	active   time.Time
	// inExcess is the state as of the last decision on a job of the share.
	inExcess bool
	// tokens are the core-seconds that the share may use, as of filledAt.
	tokens   float64
	filledAt time.Time
	// largest is the largest number of cores that a recent job of the share has needed at once.
	largest   float64
	largestAt time.Time
}

// level is what was computed from the demand of all shares.
type level struct {
	cores float64
	total sums
}

// New returns an arbiter that knows no share.
func New() *Arbiter {
	return &Arbiter{shares: make(map[Share]*share), reports: make(map[string]receivedReport)}
}

// Record records that a job has arrived, whether it is admitted or not.
func (arbiter *Arbiter) Record(job Job, now time.Time) {
	own := arbiter.share(job.Share, now)
	if own == nil {
		return
	}
	own.averages.record(&job, now)
	own.active = now
	if job.Cores > own.largest || now.Sub(own.largestAt) > activeTime {
		own.largest, own.largestAt = job.Cores, now
	}
}

// Decide decides on a job that has been recorded.
func (arbiter *Arbiter) Decide(job Job, service Service, now time.Time) Decision {
	own, ok := arbiter.shares[job.Share]
	if !ok {
		return Decision{}
	}
	level := arbiter.currentLevel(service.Cores, now)
	here := own.averages.at(now, arbiter.age(now))
	everywhere := here
	for _, owner := range slices.Sorted(maps.Keys(arbiter.reports)) {
		report := arbiter.reports[owner]
		everywhere.add(report.of(job.Share))
	}
	if everywhere.demand <= 0 || service.Cores <= 0 {
		// Jobs without declared cores would divide zero by zero, and a level of zero would put every share in excess. The latter happens
		// for up to 50 ms after the first target has become healthy, since the capacity is cached.
		return Decision{}
	}
	own.fill(level.cores*here.demand/everywhere.demand, job.CoreSeconds, now)
	contended := service.Waits || level.total.demand > contendedUtilization*service.Cores
	// Averages that have just begun are uncertain, so the first figures are reported even without contention.
	if begins := now.Sub(arbiter.since) < averagingTime; contended || begins || service.FreeCores < (1-contendedUtilization)*service.Cores {
		arbiter.reportsUntil = now.Add(activeTime)
	}
	switch {
	case !contended || everywhere.demand <= excessMargin*level.cores:
		own.inExcess = false
	case everywhere.demand > arbiter.excessThreshold(level, now):
		own.inExcess = true
	}
	decision := Decision{Demand: everywhere.demand, Level: level.cores}
	if !own.inExcess || own.tokens >= job.CoreSeconds {
		own.tokens = max(0, own.tokens-job.CoreSeconds)
		return decision
	}
	decision.Lendable = service.FreeCores - arbiter.reserve(job.Share, level.total.spread-everywhere.spread, now)
	decision.Verdict = Refused
	if !service.Waits && decision.Lendable >= job.Cores {
		decision.Verdict = Lent
	}
	return decision
}

// excessThreshold returns the demand above which a share gets in excess: more than the random variation of a share with a demand of
// the level explains.
func (arbiter *Arbiter) excessThreshold(level level, now time.Time) float64 {
	variance := 0.0
	if level.total.demand > 0 {
		variance = level.cores * level.total.squares / level.total.demand / (2 * averagingTime.Seconds())
		// An average that has just begun relies on fewer jobs.
		past := math.Exp(-arbiter.age(now).Seconds() / averagingTime.Seconds())
		variance *= (1 + past) / (1 - past)
	}
	return excessMargin*level.cores + excessDeviations*math.Sqrt(variance)
}

// reserve returns how many free cores the shares other than one may need during a lent run; spread is the variance of the cores that
// they use.
func (arbiter *Arbiter) reserve(id Share, spread float64, now time.Time) float64 {
	step := 0.0
	for _, report := range arbiter.reports {
		step = max(step, report.Step)
	}
	for other, share := range arbiter.shares {
		if other != id && now.Sub(share.largestAt) <= activeTime {
			step = max(step, share.largest)
		}
	}
	return max(step, reserveDeviations*math.Sqrt(max(0, spread)))
}

// fill adds the tokens of the time since the last job. A share can always collect the tokens of one job.
func (share *share) fill(rate, coreSeconds float64, now time.Time) {
	limit := max(rate*bucketTime.Seconds(), coreSeconds)
	share.tokens = min(limit, share.tokens+rate*max(0, now.Sub(share.filledAt).Seconds()))
	share.filledAt = now
}

// share returns the state of a share, or nil if it is not kept.
func (arbiter *Arbiter) share(id Share, now time.Time) *share {
	known, ok := arbiter.shares[id]
	if ok || id == 0 {
		return known
	}
	if len(arbiter.shares) >= maxShares && !now.Before(arbiter.evictAt) {
		arbiter.evictAt = now.Add(evictionInterval)
		for other, share := range arbiter.shares {
			if now.Sub(share.active) > activeTime {
				delete(arbiter.shares, other)
			}
		}
	}
	if len(arbiter.shares) >= maxShares {
		return nil
	}
	if arbiter.since.IsZero() {
		arbiter.since = now
	}
	known = &share{averages: averages{updated: now}, filledAt: now.Add(-bucketTime)}
	arbiter.shares[id] = known
	return known
}

func (arbiter *Arbiter) age(now time.Time) time.Duration { return max(minAge, now.Sub(arbiter.since)) }

// currentLevel returns the level of the demand, as of at most levelTTL ago.
func (arbiter *Arbiter) currentLevel(cores float64, now time.Time) level {
	if now.Before(arbiter.levelUntil) {
		return arbiter.level
	}
	arbiter.expireReports(now)
	demands, total := arbiter.demands(now)
	arbiter.level = level{total: total, cores: max(maxMin(demands, levelUtilization*cores), cores/float64(max(1, len(demands))))}
	arbiter.levelUntil = now.Add(levelTTL)
	return arbiter.level
}

// demands returns the lasting demand of each active share at all instances, and the totals. What a report does not list is divided
// equally among the shares that it does not list.
func (arbiter *Arbiter) demands(now time.Time) (demands []float64, total sums) {
	known, active := make(map[Share]float64), activeShares{}
	// The sums are added up in a fixed order, so that the same events lead to the same decisions.
	for _, id := range slices.Sorted(maps.Keys(arbiter.shares)) {
		if share := arbiter.shares[id]; now.Sub(share.active) <= activeTime {
			own := share.averages.at(now, arbiter.age(now))
			total.add(own)
			known[id] = own.lasting
			active.add(id)
		}
	}
	owners := slices.Sorted(maps.Keys(arbiter.reports))
	for _, owner := range owners {
		report := arbiter.reports[owner]
		total.add(report.sums())
		active.union(report.Active)
		for _, use := range report.Shares {
			known[use.Share] += use.Lasting
		}
	}
	count, unlisted := max(active.count(), len(known)), 0.0
	for _, owner := range owners {
		report := arbiter.reports[owner]
		each := report.rest() / float64(max(1, count-len(report.Shares)))
		unlisted += each
		for _, use := range report.Shares {
			known[use.Share] -= each
		}
	}
	for _, demand := range known {
		demands = append(demands, demand+unlisted)
	}
	for range count - len(known) {
		demands = append(demands, unlisted)
	}
	return demands, total
}

// maxMin returns the highest level at which the sum of the demands, each limited to the level, fits the capacity; the capacity if
// all of them fit.
func maxMin(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	rest := capacity
	for number, demand := range demands {
		if level := rest / float64(len(demands)-number); demand > level {
			return level
		}
		rest -= demand
	}
	return capacity
}
