package watcher

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// peer is what the watcher knows about another incarnation.
type peer struct {
	member Member
	// since is when the peer could first be heard, as a member or as a listed instance.
	since time.Time
	heard time.Time
	// suspects is the list of the last heartbeat.
	suspects map[Incarnation]bool
	// syncSilent is since when the peer owes the answer to a sync request of this view, heartbeats or not.
	syncSilent time.Time
	listed     bool
	leaving    bool
	// excluded is set for good once a view has left the peer out: whoever excluded it no longer counts on its state.
	excluded bool
}

func (peer *peer) silentFor(now time.Time) time.Duration {
	last := peer.heard
	if last.Before(peer.since) {
		last = peer.since
	}
	return now.Sub(last)
}

func (peer *peer) suspected(now time.Time) bool {
	return !peer.syncSilent.IsZero() || peer.silentFor(now) >= SuspicionTimeout
}

// Watcher follows one failure domain from the point of view of one instance.
type Watcher struct {
	self    Member
	started time.Time

	mu    sync.Mutex
	view  View
	peers map[Incarnation]*peer
	// listRead is set once the platform has given a list.
	listRead bool
	leaving  bool
	excluded bool
	// wantedSince is when a change was first wanted in the present view, or zero.
	wantedSince time.Time
	// proposedAt is when Propose last returned a proposal for the present view, or zero.
	proposedAt time.Time
}

// New returns a watcher for the instance self without a view.
func New(self Member, now time.Time) *Watcher {
	return &Watcher{self: self, started: now, view: View{Number: NoView}, peers: make(map[Incarnation]*peer)}
}

// SetLeaving notes that this instance has begun a planned stop.
func (watcher *Watcher) SetLeaving() {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	watcher.leaving = true
}

// SetInstanceList takes the platform's list of the failure domain. The list lags, so that it neither clears nor raises a
// suspicion.
func (watcher *Watcher) SetInstanceList(list []ListedInstance, now time.Time) {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	watcher.listRead = true
	for _, peer := range watcher.peers {
		peer.listed = false
	}
	for _, listed := range list {
		if listed.Incarnation == watcher.self.Incarnation {
			watcher.leaving = watcher.leaving || listed.Leaving
			continue
		}
		if peer := watcher.peer(listed.Member, now); peer != nil {
			peer.listed = true
			peer.leaving = peer.leaving || listed.Leaving
		}
	}
	watcher.forget(now)
}

// SetView takes a view that was read from the log; a lower number than the present one is ignored.
func (watcher *Watcher) SetView(view View, now time.Time) {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	if view.Number <= watcher.view.Number {
		return
	}
	for _, peer := range watcher.peers {
		peer.syncSilent = time.Time{}
	}
	for _, member := range watcher.view.Members {
		if peer := watcher.peers[member.Incarnation]; peer != nil && !contains(view.Members, member.Incarnation) {
			peer.excluded = true
		}
	}
	for _, member := range view.Members {
		watcher.peer(member, now)
	}
	self := watcher.self.Incarnation
	watcher.excluded = watcher.excluded || contains(watcher.view.Members, self) && !contains(view.Members, self)
	watcher.view = view
	watcher.wantedSince, watcher.proposedAt = time.Time{}, time.Time{}
}

// ReceiveHeartbeat takes a heartbeat that arrived at now.
func (watcher *Watcher) ReceiveHeartbeat(heartbeat Heartbeat, now time.Time) {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	if heartbeat.From.Incarnation == watcher.self.Incarnation {
		return
	}
	peer := watcher.peer(heartbeat.From, now)
	if peer == nil {
		return
	}
	peer.heard = now
	peer.leaving = peer.leaving || heartbeat.Leaving
	if !sameKeys(peer.suspects, heartbeat.Suspects) {
		peer.suspects = make(map[Incarnation]bool, len(heartbeat.Suspects))
		for _, suspect := range heartbeat.Suspects {
			peer.suspects[suspect] = true
		}
	}
}

// SetSyncAnswered notes at now whether a member has answered the sync requests of the present view in time.
func (watcher *Watcher) SetSyncAnswered(incarnation Incarnation, answered bool, now time.Time) {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	peer := watcher.peers[incarnation]
	switch {
	case peer == nil:
	case answered:
		peer.syncSilent = time.Time{}
	case peer.syncSilent.IsZero():
		peer.syncSilent = now
	}
}

// Excluded reports whether a view has left this incarnation out; it can join again only as a new incarnation.
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

// Suspects returns the members and candidates that this instance cannot hear, sorted.
func (watcher *Watcher) Suspects(now time.Time) []Incarnation {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	return watcher.suspects(now)
}

// Peers returns the incarnations to keep a link with, sorted by name: members and listed candidates.
func (watcher *Watcher) Peers() []Member {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	var members []Member
	for _, peer := range watcher.peers {
		if peer.listed || contains(watcher.view.Members, peer.member.Incarnation) {
			members = append(members, peer.member)
		}
	}
	return sorted(members)
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

// peer returns the entry of member, made if there is room.
func (watcher *Watcher) peer(member Member, now time.Time) *peer {
	if member.Incarnation == watcher.self.Incarnation {
		return nil
	}
	found := watcher.peers[member.Incarnation]
	if found == nil && len(watcher.peers) < maxPeers {
		found = &peer{member: member, since: now}
		watcher.peers[member.Incarnation] = found
	}
	return found
}

// forget drops the incarnations that are gone: neither member, nor listed, nor heard.
func (watcher *Watcher) forget(now time.Time) {
	maps.DeleteFunc(watcher.peers, func(incarnation Incarnation, peer *peer) bool {
		memory := SuspicionTimeout
		if peer.excluded {
			memory = excludedMemory
		}
		return !peer.listed && peer.silentFor(now) >= memory && !contains(watcher.view.Members, incarnation)
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
