package watcher

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Propose returns the next view that this instance should append to the log at now, and whether one is due. Call it
// again for each append, because a view that was read meanwhile invalidates the earlier proposal.
func (watcher *Watcher) Propose(now time.Time) (Proposal, bool) {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	proposal := watcher.desiredView(now)
	if proposal.empty() {
		watcher.wantedSince = time.Time{}
		return Proposal{}, false
	}
	if watcher.wantedSince.IsZero() {
		watcher.wantedSince = now
	}
	if now.Before(watcher.wantedSince.Add(watcher.delay(proposal, now))) || now.Before(watcher.proposedAt.Add(retryDelay)) {
		return Proposal{}, false
	}
	watcher.proposedAt = now
	return proposal, true
}

// empty reports whether the proposal changes nothing.
func (proposal Proposal) empty() bool {
	return len(proposal.Add)+len(proposal.Depart)+len(proposal.Exclude) == 0
}

// delay returns how long a change must be wanted before this instance proposes it: its turn, in the rendezvous
// order of the members that are neither suspected nor leaving, and batchingDelay for a proposal without exclusions.
// An exclusion has already waited for SuspicionTimeout.
func (watcher *Watcher) delay(proposal Proposal, now time.Time) time.Duration {
	candidates := []Incarnation{watcher.self.Incarnation}
	others := watcher.view.Members
	if watcher.view.Number == NoView {
		others = proposal.Add
	}
	for _, member := range others {
		if peer := watcher.peers[member.Incarnation]; peer != nil && !peer.suspected(now) && !peer.leaving {
			candidates = append(candidates, member.Incarnation)
		}
	}
	slices.SortFunc(candidates, func(a, b Incarnation) int {
		return cmp.Compare(watcher.rank(a), watcher.rank(b))
	})
	delay := time.Duration(slices.Index(candidates, watcher.self.Incarnation)) * proposerInterval
	if watcher.leaving {
		// A leaving instance proposes last. It does propose, because it may be the only one that can.
		delay = time.Duration(len(candidates)) * proposerInterval
	}
	if len(proposal.Exclude) == 0 {
		delay += batchingDelay
	}
	return delay
}

// rank returns the hash by which proposers are ordered; the order differs from view to view.
func (watcher *Watcher) rank(incarnation Incarnation) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d\x00%s", watcher.view.Number, incarnation))
	return string(sum[:])
}

// desiredView returns the view that is wanted now, whichever instance proposes it; it may change nothing.
func (watcher *Watcher) desiredView(now time.Time) Proposal {
	if watcher.view.Number == NoView {
		return watcher.desiredFirstView(now)
	}
	if !contains(watcher.view.Members, watcher.self.Incarnation) {
		// Only members add candidates; a candidate does not propose itself, because only members receive each other's
		// suspicions.
		return Proposal{}
	}
	proposal := Proposal{Previous: watcher.view.Number, Exclude: watcher.exclusions(now)}
	for _, member := range watcher.view.Members {
		switch {
		case contains(proposal.Exclude, member.Incarnation):
		case watcher.isLeaving(member.Incarnation):
			proposal.Depart = append(proposal.Depart, member)
		default:
			proposal.Keep = append(proposal.Keep, member)
		}
	}
	proposal.Add = watcher.additions(now)
	if len(proposal.Keep)+len(proposal.Add) == 0 {
		// The last member stays in the view until it stops, because an empty view could never be replaced.
		return Proposal{}
	}
	return proposal
}

// desiredFirstView returns the first view. It waits for the instance list and SuspicionTimeout, so that the view holds
// every running instance.
func (watcher *Watcher) desiredFirstView(now time.Time) Proposal {
	if !watcher.listReceived || watcher.leaving || now.Sub(watcher.started) < SuspicionTimeout {
		return Proposal{}
	}
	return Proposal{Previous: NoView, Add: sortMembers(append(watcher.additions(now), watcher.self))}
}

// isLeaving reports whether the incarnation, this one or a peer, has begun a planned stop.
func (watcher *Watcher) isLeaving(incarnation Incarnation) bool {
	if incarnation == watcher.self.Incarnation {
		return watcher.leaving
	}
	peer := watcher.peers[incarnation]
	return peer != nil && peer.leaving
}

// additions returns the listed instances that this one does not suspect. It omits those that a majority of the
// unsuspected members suspects, because these members could not sync with them.
func (watcher *Watcher) additions(now time.Time) []Member {
	var added []Member
	for incarnation, peer := range watcher.peers {
		member := contains(watcher.view.Members, incarnation)
		if member || !peer.listed || peer.leaving || peer.excluded || peer.lastHeard.IsZero() || peer.suspected(now) {
			continue
		}
		if now.Sub(peer.reachableSince) < SuspicionTimeout {
			// The other members need this long to suspect an instance from which they receive nothing.
			continue
		}
		if votes, voters := watcher.votes(incarnation, now); 2*votes <= voters {
			added = append(added, peer.member)
		}
	}
	return sortMembers(added)
}

// votes counts the other members that this instance does not suspect (voters), and those of them that suspect the
// incarnation (votes).
func (watcher *Watcher) votes(incarnation Incarnation, now time.Time) (votes, voters int) {
	for _, member := range watcher.view.Members {
		peer := watcher.peers[member.Incarnation]
		if member.Incarnation == incarnation || peer == nil || peer.suspected(now) {
			continue
		}
		voters++
		if peer.suspects[incarnation] {
			votes++
		}
	}
	return votes, voters
}

// exclusions returns the members to leave out: those suspected by this instance and by a majority of the other members
// that it does not suspect. If more than half of the view would be left out although the instance list still has them,
// only members that are not listed are left out. Before the first list arrives, every member counts as listed.
func (watcher *Watcher) exclusions(now time.Time) []Member {
	var excluded []Member
	stillListed := 0
	for _, member := range watcher.view.Members {
		peer := watcher.peers[member.Incarnation]
		if peer == nil || !peer.suspected(now) || !watcher.majoritySuspects(peer, now) {
			continue
		}
		excluded = append(excluded, member)
		if peer.listed || !watcher.listReceived {
			stillListed++
		}
	}
	if 2*stillListed > len(watcher.view.Members) {
		excluded = slices.DeleteFunc(excluded, func(member Member) bool { return watcher.peers[member.Incarnation].listed || !watcher.listReceived })
	}
	return excluded
}

// majoritySuspects reports whether the peer is suspected by a majority of the other members that this instance does
// not suspect. If there are none, it reports whether the peer has sent no heartbeat, or its answer to a sync request
// has been overdue, for isolatedTimeoutFactor times SuspicionTimeout.
func (watcher *Watcher) majoritySuspects(suspect *peer, now time.Time) bool {
	votes, voters := watcher.votes(suspect.member.Incarnation, now)
	if voters == 0 {
		isolatedTimeout := isolatedTimeoutFactor * SuspicionTimeout
		return suspect.silence(now) >= isolatedTimeout || !suspect.syncOverdueSince.IsZero() && now.Sub(suspect.syncOverdueSince) >= isolatedTimeout
	}
	return 2*votes > voters
}

func sortMembers(members []Member) []Member {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(string(a.Incarnation), string(b.Incarnation)))
	})
	return members
}
