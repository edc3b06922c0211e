package gossiper

import (
	"maps"
	"time"

	"github.com/hyssoplift/hyssoplift/linker"
)

// delegationRules lists conditions under which instances delegate their jobs, since callers choose instances regardless
// of size; the first rule that holds applies. Instances whose weight is below ratio times the largest weight delegate, if
// at least minCount others remain and hold at least minShare of the total weight. The first rule bounds the instances
// that exchange reports and share the connections of each target in deployments of hundreds of instances, where these
// exchanges took most of the processor time. The ratio of the second one lies between the relative instance sizes of the
// medium deployments, 0.18 and 0.6; instances of 0.18 were overloaded when they ran their own jobs.
var delegationRules = []struct {
	ratio    float64
	minCount int
	minShare float64
}{
	{ratio: 0.7, minCount: 12, minShare: 0.25},
	{ratio: 0.4, minCount: 1, minShare: 0.5},
}

// busyAnnouncementPeriod is how long a delegating instance that no longer owns jobs announces that to all peers.
const busyAnnouncementPeriod = 3 * heartbeatInterval

const (
	// joiningPeriod is how long an instance that joins others is not the reader of any target: it does not know yet which
	// targets the others read, nor which of their runs it would have to look after.
	joiningPeriod = time.Second
	// commonStartPeriod is how far apart instances start at most that are started together.
	commonStartPeriod = 500 * time.Millisecond
)

// startOf returns when an instance started that has just sent a hello. Instances of earlier revisions do not state it.
func startOf(hello linker.Hello, now time.Time) time.Time {
	if hello.UptimeMS <= 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(min(hello.UptimeMS, int64(time.Hour/time.Millisecond))) * time.Millisecond)
}

// isJoining reports whether an instance that started at the given time has started recently, while others were running. The
// caller holds the lock.
func (gossiper *Gossiper) isJoining(startedAt, now time.Time) bool {
	if now.Sub(startedAt) >= joiningPeriod {
		return false
	}
	oldest := gossiper.startedAt
	for _, peer := range gossiper.peers {
		if !peer.lost && peer.startedAt.Before(oldest) {
			oldest = peer.startedAt
		}
	}
	return startedAt.Sub(oldest) > commonStartPeriod
}

// countJoining counts the live instances, including this one, that are joining. The caller holds the lock.
func (gossiper *Gossiper) countJoining(now time.Time) int {
	count := 0
	if gossiper.isJoining(gossiper.startedAt, now) {
		count++
	}
	for _, peer := range gossiper.peers {
		if !peer.lost && gossiper.isJoining(peer.startedAt, now) {
			count++
		}
	}
	return count
}

// Joining reports whether this instance has started recently, while others were running.
func (gossiper *Gossiper) Joining() bool {
	now := gossiper.now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.isJoining(gossiper.startedAt, now)
}

// delegationThreshold returns the weight below which instances delegate their jobs, or 0 if none should.
func delegationThreshold(weights []float64) float64 {
	largest, total := 0.0, 0.0
	for _, weight := range weights {
		largest = max(largest, weight)
		total += weight
	}
	for _, rule := range delegationRules {
		threshold := rule.ratio * largest
		count, remaining := 0, 0.0
		for _, weight := range weights {
			if weight >= threshold {
				count++
				remaining += weight
			}
		}
		if count >= rule.minCount && remaining >= rule.minShare*total {
			return threshold
		}
	}
	return 0
}

// updateRoles determines which instances delegate their jobs, after a change of the live instances; the caller holds
// the lock.
func (gossiper *Gossiper) updateRoles() {
	gossiper.joining = gossiper.countJoining(gossiper.now())
	weights := []float64{gossiper.self.EffectiveWeight()}
	for _, peer := range gossiper.peers {
		if !peer.lost && !peer.leaving {
			weights = append(weights, peer.hello.EffectiveWeight())
		}
	}
	threshold := delegationThreshold(weights)
	gossiper.changeContacts(func() {
		gossiper.delegating = gossiper.self.EffectiveWeight() < threshold
		for _, peer := range gossiper.peers {
			peer.delegating = peer.hello.EffectiveWeight() < threshold
		}
	})
	if assignment := gossiper.assignment(); !assignment.equal(&gossiper.assigned) {
		gossiper.assigned = assignment
		gossiper.peersVersion++
	}
}

// assignment is what determines the readers of targets, apart from the targets. Most changes of a large deployment concern
// instances that delegate their jobs and read nothing; assigning all readers anew for each of them would take more processor
// time than the work itself.
type assignment struct {
	eligible map[string]bool
	// delegating and joining are the states of this instance.
	delegating bool
	joining    bool
}

func (assignment *assignment) equal(other *assignment) bool {
	return assignment.delegating == other.delegating && assignment.joining == other.joining && maps.Equal(assignment.eligible, other.eligible)
}

// assignment returns the present assignment; the caller holds the lock.
func (gossiper *Gossiper) assignment() assignment {
	now := gossiper.now()
	current := assignment{eligible: make(map[string]bool), delegating: gossiper.delegating, joining: gossiper.isJoining(gossiper.startedAt, now)}
	for incarnation, peer := range gossiper.peers {
		if gossiper.isEligible(peer, now) {
			current.eligible[incarnation] = true
		}
	}
	return current
}

// isEligible reports whether an instance can be a reader or a delegate; the caller holds the lock.
func (gossiper *Gossiper) isEligible(peer *peer, now time.Time) bool {
	return !peer.lost && !peer.leaving && !peer.delegating && !gossiper.isJoining(peer.startedAt, now)
}

// changeContacts makes a change that may begin contact with peers; the caller holds the lock.
func (gossiper *Gossiper) changeContacts(change func()) {
	now := gossiper.now()
	before := make(map[*peer]bool, len(gossiper.peers))
	for _, peer := range gossiper.peers {
		before[peer] = gossiper.inContact(peer, now)
	}
	change()
	for _, peer := range gossiper.peers {
		gossiper.beginContact(peer, before[peer], now)
	}
}

// beginContact prepares the exchange of heartbeats if the peer was not in contact before: their absence until now is no
// evidence of a loss. The caller holds the lock.
func (gossiper *Gossiper) beginContact(peer *peer, before bool, now time.Time) {
	if !before && gossiper.inContact(peer, now) {
		peer.lastHeard = now
		gossiper.heartbeatSentAt = time.Time{}
		notify(gossiper.changed)
	}
}

// Delegating reports whether this instance delegates its jobs to larger ones.
func (gossiper *Gossiper) Delegating() bool {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.delegating
}

// inContact reports whether this instance and the peer send each other heartbeats at now. Larger instances do so among
// themselves, and with the delegating ones of their failure domain, which choose their delegates there. Across failure
// domains, a delegating instance and a larger one are in contact only while one of them runs a job for the other one or
// the delegating one owns jobs, so that an instance does not exchange heartbeats with every other one. The caller holds
// the lock.
func (gossiper *Gossiper) inContact(peer *peer, now time.Time) bool {
	switch {
	case gossiper.delegating && peer.delegating:
		return false
	case gossiper.delegating == peer.delegating, peer.hello.Domain == gossiper.self.Domain, peer.sharedJobs > 0:
		return true
	case gossiper.delegating:
		return gossiper.busy || now.Before(gossiper.busyAnnouncedUntil)
	}
	return peer.busy
}
