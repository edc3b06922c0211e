package locator

import (
	"hash/fnv"
	"time"
)

const (
	// ResubmitInterval is the shortest time after which a caller of the platform hands a job in again.
	ResubmitInterval = 1300 * time.Millisecond
	// AnnounceAfter is the age at which a job is first announced. The rest of ResubmitInterval is the time after which an
	// instance that has sent nothing counts as lost: an instance in contact has the announcement before the repetition.
	AnnounceAfter = ResubmitInterval - 500*time.Millisecond
	// AnnounceInterval is the time between two announcements of a job, for instances that have missed the first one.
	AnnounceInterval = 500 * time.Millisecond
	// RunsEndAfter is how long after the last message of an instance its runs have ended at the latest: 250 ms in which its readers
	// may still renew leases, and 1,000 ms of lease on a clock that is 2% slow.
	RunsEndAfter = 1270 * time.Millisecond
	// retention is how long an announcement counts. It covers the time between two announcements, the wait for the next
	// broadcast (120 ms) and RunsEndAfter.
	retention = 2 * time.Second
	// maxJobs bounds the memory for announced jobs.
	maxJobs = 1 << 15
)

// Key identifies a job in announcements.
type Key uint64

// KeyOf returns the key of a job.
func KeyOf(job string) Key {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(job))
	return Key(hash.Sum64())
}

// GivenUpKeyOf returns the key of a job that is not active on the instance that announces it, and of which a target may carry out a start
// all the same. It differs from that of the active job, which may run on another instance by now.
func GivenUpKeyOf(job string) Key { return KeyOf("given-up/" + job) }

// Decision says what an instance does with a job that a caller has handed in: Run, Join or Withhold.
type Decision interface{ isDecision() }

// Run means that no other instance is known to have the job.
type Run struct{}

// Join means that the job is active on another instance, whose outcome counts for this caller too, or that only that instance knows which
// targets may carry out a start of it.
type Join struct{ Instance string }

// Withhold means that runs of the job may go on whose instance is lost.
type Withhold struct{ Instance string }

func (Run) isDecision()      {}
func (Join) isDecision()     {}
func (Withhold) isDecision() {}

// Contact is what is known of another instance: when its last message arrived, and whether it is considered lost.
type Contact struct {
	LastHeard time.Time
	Lost      bool
}

// location is the instance that has announced a job, and until when that counts.
type location struct {
	instance string
	until    time.Time
}

// Locator holds the announced jobs of other instances.
type Locator struct{ locations map[Key]location }

// New returns a locator that knows of no jobs.
func New() *Locator { return &Locator{locations: make(map[Key]location)} }

// Record records that an instance has announced an active job in a message that it sent at the given time.
func (locator *Locator) Record(instance string, job Key, sent time.Time) {
	until := sent.Add(retention)
	if known, ok := locator.locations[job]; ok && known.until.After(until) || !ok && len(locator.locations) >= maxJobs {
		return
	}
	locator.locations[job] = location{instance, until}
}

// Decide decides what to do with a job that is not active on this instance. contact returns what is known of another instance, or false
// if nothing is.
func (locator *Locator) Decide(job string, contact func(instance string) (Contact, bool), now time.Time) Decision {
	if decision := locator.decide(KeyOf(job), contact, now); decision != (Run{}) {
		return decision
	}
	if join, ok := locator.decide(GivenUpKeyOf(job), contact, now).(Join); ok {
		return join
	}
	// A lost instance that has given the job up runs nothing of it.
	return Run{}
}

func (locator *Locator) decide(key Key, contact func(instance string) (Contact, bool), now time.Time) Decision {
	known, ok := locator.locations[key]
	if !ok || !now.Before(known.until) {
		return Run{}
	}
	switch contact, ok := contact(known.instance); {
	case !ok:
		return Run{}
	case !contact.Lost:
		return Join{known.instance}
	case now.Before(contact.LastHeard.Add(RunsEndAfter)):
		return Withhold{known.instance}
	}
	return Run{}
}

// Expire forgets the announcements that count no more.
func (locator *Locator) Expire(now time.Time) {
	for job, known := range locator.locations {
		if !now.Before(known.until) {
			delete(locator.locations, job)
		}
	}
}
