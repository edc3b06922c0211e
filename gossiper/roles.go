package gossiper

import (
	"maps"
	"time"

	"github.com/hyssoplift/hyssoplift/apportioner"
	"github.com/hyssoplift/hyssoplift/linker"
)

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
	return startedAt.Sub(gossiper.oldestStart()) > commonStartPeriod
}

// oldestStart returns the earliest start of the live instances that are known, including this one. The caller holds the lock.
func (gossiper *Gossiper) oldestStart() time.Time {
	oldest := gossiper.startedAt
	for _, peer := range gossiper.peers {
		if !peer.lost && peer.startedAt.Before(oldest) {
			oldest = peer.startedAt
		}
	}
	return oldest
}

// OldestStart returns the earliest start of the live instances that are known, including this one; zero if one does not state it.
func (gossiper *Gossiper) OldestStart() time.Time {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.oldestStart()
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

// updateRoles determines which instances delegate their jobs, after a change of the live instances or of the connection
// limit; the caller holds the lock.
func (gossiper *Gossiper) updateRoles() {
	gossiper.joining = gossiper.countJoining(gossiper.now())
	members := make([]apportioner.Member, 0, len(gossiper.peers)+1)
	members = append(members, memberOf(&gossiper.self))
	for _, peer := range gossiper.peers {
		if peer.isMember() {
			members = append(members, memberOf(&peer.hello))
		}
	}
	gossiper.apportionment = apportioner.New(members, apportioner.Limits{Connections: gossiper.targetConnections})
	gossiper.changeContacts(func() {
		gossiper.delegating = !gossiper.apportionment.Starts(nameOf(&gossiper.self))
		for _, peer := range gossiper.peers {
			// A lost or leaving instance keeps its role until it is back.
			if peer.isMember() {
				peer.delegating = !gossiper.apportionment.Starts(nameOf(&peer.hello))
			}
		}
	})
	if assignment := gossiper.assignment(); !assignment.equal(&gossiper.assigned) {
		gossiper.assigned = assignment
		gossiper.peersVersion++
	}
}

// isMember reports whether the instance takes part in the work.
func (peer *peer) isMember() bool { return !peer.lost && !peer.leaving }

func memberOf(hello *linker.Hello) apportioner.Member {
	return apportioner.Member{Name: nameOf(hello), Domain: hello.Domain, Weight: hello.EffectiveWeight()}
}

// nameOf returns the name that identifies an instance over a restart, or its incarnation if it has none.
func nameOf(hello *linker.Hello) string {
	if hello.Name == "" {
		return hello.Incarnation
	}
	return hello.Name
}

// SetTargetConnections sets how many connections each target accepts from all instances together; 0 if unknown.
func (gossiper *Gossiper) SetTargetConnections(limit int) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	if limit != gossiper.targetConnections {
		gossiper.targetConnections = limit
		gossiper.updateRoles()
	}
}

// Apportionment returns the plan that determines which of the known instances start runs.
func (gossiper *Gossiper) Apportionment() apportioner.Plan {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.apportionment
}

// ConnectionLimit returns how many connections this instance may hold to each target that it reads, or to each other one; 0
// means no limit.
func (gossiper *Gossiper) ConnectionLimit(isReader bool) int {
	plan := gossiper.Apportionment()
	return plan.Connections(nameOf(&gossiper.self), isReader)
}

// Uses reports whether this instance may start runs on a target of a failure domain that another instance reads.
func (gossiper *Gossiper) Uses(target, domain string) bool {
	plan := gossiper.Apportionment()
	return plan.Uses(nameOf(&gossiper.self), target, domain)
}

// assignment is what determines the readers of targets, apart from the targets. Most changes of a large deployment concern
// instances that delegate their jobs and read nothing; assigning all readers anew for each of them would take more processor
// time than the work itself.
type assignment struct {
	eligible map[string]bool
	// delegating and joining are the states of this instance.
	delegating bool
	joining    bool
	// users is how many instances use each target besides its reader, if restricted.
	restricted bool
	users      int
}

func (assignment *assignment) equal(other *assignment) bool {
	return assignment.delegating == other.delegating && assignment.joining == other.joining && assignment.restricted == other.restricted && assignment.users == other.users && maps.Equal(assignment.eligible, other.eligible)
}

// assignment returns the present assignment; the caller holds the lock.
func (gossiper *Gossiper) assignment() assignment {
	now := gossiper.now()
	current := assignment{
		eligible: make(map[string]bool), delegating: gossiper.delegating, joining: gossiper.isJoining(gossiper.startedAt, now),
		restricted: gossiper.apportionment.Restricted(), users: gossiper.apportionment.Users(),
	}
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
		before[peer] = gossiper.expectsMessages(peer, now)
	}
	change()
	for _, peer := range gossiper.peers {
		gossiper.beginContact(peer, before[peer], now)
	}
}

// beginContact prepares the exchange of heartbeats if none were expected of the peer before: their absence until now is no
// evidence of a loss. The caller holds the lock.
func (gossiper *Gossiper) beginContact(peer *peer, before bool, now time.Time) {
	if !before && gossiper.expectsMessages(peer, now) {
		peer.lastHeard, peer.contactSince = now, now
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
// the delegating one owns jobs, so that an instance does not exchange heartbeats with every other one. Two delegating
// instances are in contact only while one of them runs a job for the other one. The caller holds the lock.
func (gossiper *Gossiper) inContact(peer *peer, now time.Time) bool {
	switch {
	case peer.sharedJobs > 0:
		// The other one may see the roles differently.
		return true
	case gossiper.delegating && peer.delegating:
		return false
	case gossiper.delegating == peer.delegating, peer.hello.Domain == gossiper.self.Domain:
		return true
	case gossiper.delegating:
		return gossiper.busy || now.Before(gossiper.busyAnnouncedUntil)
	}
	return peer.busy
}

// expectsMessages reports whether the absence of messages of the peer would be evidence of its loss. Nothing depends on a leaving
// instance without jobs, and it may see the roles differently: it sends heartbeats to those that it is in contact with by its own
// view. The caller holds the lock.
func (gossiper *Gossiper) expectsMessages(peer *peer, now time.Time) bool {
	if peer.leaving && !peer.busy && peer.sharedJobs == 0 {
		return false
	}
	return gossiper.inContact(peer, now)
}
