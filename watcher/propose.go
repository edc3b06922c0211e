package watcher

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Propose returns the next view that this instance should append to the log at now, and false if none is due. It must
// be asked again for each append: a view that was read meanwhile makes the earlier answer void.
func (watcher *Watcher) Propose(now time.Time) (Proposal, bool) {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	proposal := watcher.plan(now)
	if proposal.empty() {
		watcher.wantedSince = time.Time{}
		return Proposal{}, false
	}
	if watcher.wantedSince.IsZero() {
		watcher.wantedSince = now
	}
	if now.Before(watcher.wantedSince.Add(watcher.delay(proposal, now))) || now.Before(watcher.proposedAt.Add(retryTime)) {
		return Proposal{}, false
	}
	watcher.proposedAt = now
	return proposal, true
}

// empty reports whether the proposal changes nothing.
func (proposal Proposal) empty() bool {
	return len(proposal.Add)+len(proposal.Depart)+len(proposal.Exclude) == 0
}

// delay is how long a change must be wanted before this instance proposes it: a turn by rendezvous hashing over the
// members that can be heard and, for planned changes, time for others to join in. An exclusion has waited already.
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
	delay := time.Duration(slices.Index(candidates, watcher.self.Incarnation)) * turnTime
	if watcher.leaving {
		// A leaving instance proposes last, but does propose: it may be the only one that can.
		delay = time.Duration(len(candidates)) * turnTime
	}
	if len(proposal.Exclude) == 0 {
		delay += settleTime
	}
	return delay
}

func (watcher *Watcher) rank(incarnation Incarnation) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d\x00%s", watcher.view.Number, incarnation))
	return string(sum[:])
}

// plan returns the view that is wanted now, whoever proposes it.
func (watcher *Watcher) plan(now time.Time) Proposal {
	if watcher.view.Number == NoView {
		return watcher.planFirst(now)
	}
	if !contains(watcher.view.Members, watcher.self.Incarnation) {
		// A member adds candidates, and never a candidate itself, because only members know each other's suspicions.
		return Proposal{}
	}
	proposal := Proposal{Previous: watcher.view.Number, Exclude: watcher.exclusions(now)}
	for _, member := range watcher.view.Members {
		switch {
		case contains(proposal.Exclude, member.Incarnation):
		case watcher.departs(member.Incarnation):
			proposal.Depart = append(proposal.Depart, member)
		default:
			proposal.Keep = append(proposal.Keep, member)
		}
	}
	proposal.Add = watcher.additions(now)
	if len(proposal.Keep)+len(proposal.Add) == 0 {
		// The last member stays in the view until it stops: an empty view could never be replaced.
		return Proposal{}
	}
	return proposal
}

// planFirst waits for the list and one suspicion period, so that the first view holds everybody who is there.
func (watcher *Watcher) planFirst(now time.Time) Proposal {
	if !watcher.listRead || watcher.leaving || now.Sub(watcher.started) < SuspicionTimeout {
		return Proposal{}
	}
	return Proposal{Previous: NoView, Add: sorted(append(watcher.additions(now), watcher.self))}
}

func (watcher *Watcher) departs(incarnation Incarnation) bool {
	if incarnation == watcher.self.Incarnation {
		return watcher.leaving
	}
	peer := watcher.peers[incarnation]
	return peer != nil && peer.leaving
}

// additions returns the listed instances that this one hears, unless most members that it hears do not: they could not
// sync with it.
func (watcher *Watcher) additions(now time.Time) []Member {
	var added []Member
	for incarnation, peer := range watcher.peers {
		member := contains(watcher.view.Members, incarnation)
		if member || !peer.listed || peer.leaving || peer.excluded || peer.heard.IsZero() || peer.suspected(now) {
			continue
		}
		if now.Sub(peer.since) < SuspicionTimeout {
			// The other members need this long to notice that they cannot hear it.
			continue
		}
		if votes, voters := watcher.votes(incarnation, now); 2*votes <= voters {
			added = append(added, peer.member)
		}
	}
	return sorted(added)
}

// votes returns how many of the other members that can be heard suspect the incarnation.
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

// exclusions returns the members to leave out: those whose suspicion a majority shares, but never a majority of the
// view, unless the list no longer has them.
func (watcher *Watcher) exclusions(now time.Time) []Member {
	var excluded []Member
	present := 0
	for _, member := range watcher.view.Members {
		peer := watcher.peers[member.Incarnation]
		if peer == nil || !peer.suspected(now) || !watcher.confirmed(peer, now) {
			continue
		}
		excluded = append(excluded, member)
		if peer.listed || !watcher.listRead {
			present++
		}
	}
	if 2*present > len(watcher.view.Members) {
		excluded = slices.DeleteFunc(excluded, func(member Member) bool { return watcher.peers[member.Incarnation].listed || !watcher.listRead })
	}
	return excluded
}

// confirmed reports whether the suspicion of peer suffices to leave it out.
func (watcher *Watcher) confirmed(suspect *peer, now time.Time) bool {
	votes, voters := watcher.votes(suspect.member.Incarnation, now)
	if voters == 0 {
		alone := aloneSuspicionPeriods * SuspicionTimeout
		return suspect.silentFor(now) >= alone || !suspect.syncSilent.IsZero() && now.Sub(suspect.syncSilent) >= alone
	}
	return 2*votes > voters
}

func sorted(members []Member) []Member {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(string(a.Incarnation), string(b.Incarnation)))
	})
	return members
}
