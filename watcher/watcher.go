package watcher

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// peer is the state of another incarnation as recorded by the watcher.
type peer struct {
	member Member
	// reachableSince is when the peer became known as a member, as a listed instance or by a heartbeat.
	reachableSince time.Time
	lastHeard      time.Time
	// suspects are the incarnations that the peer's last heartbeat named.
	suspects map[Incarnation]bool
	// syncOverdueSince is since when the answer to a sync request of this view is overdue, whether or not heartbeats
	// arrive, or zero.
	syncOverdueSince time.Time
	listed           bool
	leaving          bool
	// excluded is set permanently once a view has left the peer out, because the members of that view no longer rely on
	// its state.
	excluded bool
}

func (peer *peer) silence(now time.Time) time.Duration {
	last := peer.lastHeard
	if last.Before(peer.reachableSince) {
		last = peer.reachableSince
	}
	return now.Sub(last)
}

func (peer *peer) suspected(now time.Time) bool {
	return !peer.syncOverdueSince.IsZero() || peer.silence(now) >= SuspicionTimeout
}

// Watcher tracks the membership of one failure domain for one instance.
type Watcher struct {
	self    Member
	started time.Time

	mu    sync.Mutex
	view  View
	peers map[Incarnation]*peer
	// listReceived is set once an instance list has been received.
	listReceived bool
	leaving      bool
	excluded     bool
	// wantedSince is when a change was first wanted in the current view, or zero.
	wantedSince time.Time
	// proposedAt is when Propose last returned a proposal for the current view, or zero.
	proposedAt time.Time
}

// New returns a watcher without a view for the instance self.
func New(self Member, now time.Time) *Watcher {
	return &Watcher{self: self, started: now, view: View{Number: NoView}, peers: make(map[Incarnation]*peer)}
}

// SetLeaving records that this instance has begun a planned stop.
func (watcher *Watcher) SetLeaving() {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	watcher.leaving = true
}

// SetInstanceList records the platform's instance list of the failure domain. The list lags, so it neither raises nor
// clears a suspicion.
func (watcher *Watcher) SetInstanceList(list []ListedInstance, now time.Time) {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	watcher.listReceived = true
	for _, peer := range watcher.peers {
		peer.listed = false
	}
	for _, listed := range list {
		if listed.Incarnation == watcher.self.Incarnation {
			watcher.leaving = watcher.leaving || listed.Leaving
			continue
		}
		if peer := watcher.findOrAddPeer(listed.Member, now); peer != nil {
			peer.listed = true
			peer.leaving = peer.leaving || listed.Leaving
		}
	}
	watcher.removeStalePeers(now)
}

// SetView records a view that was read from the log. A view with a number that is not above the current one is ignored.
func (watcher *Watcher) SetView(view View, now time.Time) {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	if view.Number <= watcher.view.Number {
		return
	}
	for _, peer := range watcher.peers {
		peer.syncOverdueSince = time.Time{}
	}
	for _, member := range watcher.view.Members {
		if peer := watcher.peers[member.Incarnation]; peer != nil && !contains(view.Members, member.Incarnation) {
			peer.excluded = true
		}
	}
	for _, member := range view.Members {
		watcher.findOrAddPeer(member, now)
	}
	self := watcher.self.Incarnation
	watcher.excluded = watcher.excluded || contains(watcher.view.Members, self) && !contains(view.Members, self)
	watcher.view = view
	watcher.wantedSince, watcher.proposedAt = time.Time{}, time.Time{}
}

// ReceiveHeartbeat records a heartbeat that arrived at now.
func (watcher *Watcher) ReceiveHeartbeat(heartbeat Heartbeat, now time.Time) {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	if heartbeat.From.Incarnation == watcher.self.Incarnation {
		return
	}
	peer := watcher.findOrAddPeer(heartbeat.From, now)
	if peer == nil {
		return
	}
	peer.lastHeard = now
	peer.leaving = peer.leaving || heartbeat.Leaving
	if !sameKeys(peer.suspects, heartbeat.Suspects) {
		peer.suspects = make(map[Incarnation]bool, len(heartbeat.Suspects))
		for _, suspect := range heartbeat.Suspects {
			peer.suspects[suspect] = true
		}
	}
}

// SetSyncAnswered records whether a member has answered the sync requests of the current view in time. A member that
// has not is suspected until it has, or until the next view.
func (watcher *Watcher) SetSyncAnswered(incarnation Incarnation, answered bool, now time.Time) {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	peer := watcher.peers[incarnation]
	switch {
	case peer == nil:
	case answered:
		peer.syncOverdueSince = time.Time{}
	case peer.syncOverdueSince.IsZero():
		peer.syncOverdueSince = now
	}
}

// Excluded reports whether a view has left this incarnation out. The instance can join again only as a new incarnation.
func (watcher *Watcher) Excluded() bool {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	return watcher.excluded
}

// Heartbeat returns the heartbeat to send at now.
func (watcher *Watcher) Heartbeat(now time.Time) Heartbeat {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	return Heartbeat{From: watcher.self, View: watcher.view.Number, Suspects: watcher.suspects(now), Leaving: watcher.leaving}
}

// Suspects returns the members and candidates that this instance suspects, sorted.
func (watcher *Watcher) Suspects(now time.Time) []Incarnation {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	return watcher.suspects(now)
}

// Peers returns the incarnations to keep a link with, members and listed instances, sorted by name.
func (watcher *Watcher) Peers() []Member {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	var members []Member
	for _, peer := range watcher.peers {
		if peer.listed || contains(watcher.view.Members, peer.member.Incarnation) {
			members = append(members, peer.member)
		}
	}
	return sortMembers(members)
}

func (watcher *Watcher) suspects(now time.Time) []Incarnation {
	var suspects []Incarnation
	for incarnation, peer := range watcher.peers {
		relevant := peer.listed && !peer.excluded && !peer.leaving || contains(watcher.view.Members, incarnation)
		if relevant && peer.suspected(now) {
			suspects = append(suspects, incarnation)
		}
	}
	slices.Sort(suspects)
	return suspects
}

// findOrAddPeer returns the entry of a member. A new member is added unless there are maxPeers entries already. It
// returns nil for this instance and for a new member that is not added.
func (watcher *Watcher) findOrAddPeer(member Member, now time.Time) *peer {
	if member.Incarnation == watcher.self.Incarnation {
		return nil
	}
	found := watcher.peers[member.Incarnation]
	if found == nil && len(watcher.peers) < maxPeers {
		found = &peer{member: member, reachableSince: now}
		watcher.peers[member.Incarnation] = found
	}
	return found
}

// removeStalePeers drops the incarnations that are neither members nor listed and that have sent no recent heartbeat.
func (watcher *Watcher) removeStalePeers(now time.Time) {
	maps.DeleteFunc(watcher.peers, func(incarnation Incarnation, peer *peer) bool {
		retention := SuspicionTimeout
		if peer.excluded {
			retention = excludedRetention
		}
		return !peer.listed && peer.silence(now) >= retention && !contains(watcher.view.Members, incarnation)
	})
}

func contains(members []Member, incarnation Incarnation) bool {
	return slices.ContainsFunc(members, func(member Member) bool { return member.Incarnation == incarnation })
}

func sameKeys(set map[Incarnation]bool, keys []Incarnation) bool {
	if len(set) != len(keys) {
		return false
	}
	for _, key := range keys {
		if !set[key] {
			return false
		}
	}
	return true
}
