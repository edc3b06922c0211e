package server

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/keeper"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/lister"
	"github.com/hyssoplift/hyssoplift/sleeper"
	"github.com/hyssoplift/hyssoplift/watcher"
)

const (
	// membershipInterval is how often proposals and suspicions are evaluated.
	membershipInterval = 100 * time.Millisecond
	// listInterval is the delay between reads of the instance list, which lags by more than that anyway.
	listInterval = time.Second
	// takeoverDelay is how long every member of the view must be unlisted and without heartbeats before an instance
	// outside the view proposes the next one. It lets candidates connect to each other, so that they join the same
	// view.
	takeoverDelay = 2 * watcher.SuspicionTimeout
	// maxKnownPeers bounds the number of instances whose hellos and heartbeats are kept.
	maxKnownPeers = 4096
)

// lastHeartbeat is the last heartbeat received from an instance.
type lastHeartbeat struct {
	at   time.Time
	view int64
}

// membership connects the watcher with the instance list, the links, the view log and the keeper.
type membership struct {
	self      watcher.Member
	domain    string
	watcher   *watcher.Watcher
	linker    *linker.Linker
	keeper    *keeper.Keeper
	viewLog   *viewLog
	lister    *lister.Lister
	retention time.Duration
	logger    hclog.Logger
	// fillHeartbeat sets the fields of a heartbeat that do not come from the watcher.
	fillHeartbeat func(*linker.Heartbeat)
	// excluded is closed when a view has excluded this incarnation.
	excluded chan struct{}

	mu sync.Mutex
	// hellos holds the latest hello from each instance of the failure domain, by address.
	hellos        map[string]linker.Hello
	lastHeartbeat map[string]lastHeartbeat
	listed        []lister.Instance
	listRead      bool
	// allGoneSince is the time since which no member of the view has been listed or sent heartbeats, or zero.
	allGoneSince time.Time
	suspected    map[string]bool
	// adoptedByAll is the latest view that every listed instance has adopted.
	adoptedByAll int64
}

// run sends heartbeats, evaluates suspicions and proposes views until ctx is done.
func (membership *membership) run(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	var lastSent time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.Sub(lastSent) >= watcher.HeartbeatInterval {
				lastSent = now
				membership.sendHeartbeat(now)
			}
			membership.updateSuspects(now)
			membership.checkAdoption(now)
			membership.propose(ctx, now)
			if membership.watcher.Excluded() {
				close(membership.excluded)
				return
			}
		}
	}
}

// pollList reads the instance list until ctx is done.
func (membership *membership) pollList(ctx context.Context) {
	for ctx.Err() == nil {
		if membership.lister == nil {
			// Without a list, this instance is alone in its failure domain.
			membership.setList(nil)
			return
		}
		instances, err := membership.lister.Instances(ctx, membership.domain)
		if err != nil {
			membership.logger.Warn("instance list not read", "error", eris.ToString(err, false))
		} else {
			membership.setList(instances)
		}
		sleeper.For(ctx, listInterval)
	}
}

func (membership *membership) setList(instances []lister.Instance) {
	membership.mu.Lock()
	membership.listed, membership.listRead = instances, true
	listed := membership.listedMembers()
	membership.mu.Unlock()
	membership.watcher.SetInstanceList(listed, time.Now())
	membership.updateLinks()
}

// listedMembers returns the listed instances whose incarnation is known from a hello, since the list does not contain
// incarnations. The caller holds membership.mu.
func (membership *membership) listedMembers() []watcher.ListedInstance {
	var members []watcher.ListedInstance
	for _, instance := range membership.listed {
		leaving := instance.State == lister.Leaving
		if instance.Address == membership.self.Address {
			members = append(members, watcher.ListedInstance{Member: membership.self, Leaving: leaving})
		} else if hello, ok := membership.hellos[instance.Address]; ok {
			members = append(members, watcher.ListedInstance{Member: helloMember(hello), Leaving: leaving})
		}
	}
	return members
}

func helloMember(hello linker.Hello) watcher.Member {
	return watcher.Member{Name: hello.Name, Incarnation: watcher.Incarnation(hello.Incarnation), Address: hello.Address}
}

// handleHello stores the hello of a link that was established.
func (membership *membership) handleHello(hello linker.Hello) {
	if hello.Domain != membership.domain {
		return
	}
	membership.mu.Lock()
	if len(membership.hellos) >= maxKnownPeers {
		clear(membership.hellos)
	}
	membership.hellos[hello.Address] = hello
	listed, listRead := membership.listedMembers(), membership.listRead
	membership.mu.Unlock()
	if listRead {
		membership.watcher.SetInstanceList(listed, time.Now())
	}
}

// handleHeartbeat stores a heartbeat and passes it to the watcher.
func (membership *membership) handleHeartbeat(from linker.Hello, heartbeat linker.Heartbeat) {
	if from.Domain != membership.domain {
		return
	}
	now := time.Now()
	suspects := make([]watcher.Incarnation, len(heartbeat.Suspects))
	for i, suspect := range heartbeat.Suspects {
		suspects[i] = watcher.Incarnation(suspect)
	}
	membership.mu.Lock()
	if len(membership.lastHeartbeat) >= maxKnownPeers {
		maps.DeleteFunc(membership.lastHeartbeat, func(_ string, last lastHeartbeat) bool { return now.Sub(last.at) >= watcher.SuspicionTimeout })
	}
	membership.lastHeartbeat[from.Incarnation] = lastHeartbeat{at: now, view: heartbeat.View}
	membership.mu.Unlock()
	membership.watcher.ReceiveHeartbeat(watcher.Heartbeat{From: helloMember(from), View: heartbeat.View, Suspects: suspects, Leaving: heartbeat.Leaving}, now)
}

// setView passes a view in force to the watcher and updates the links.
func (membership *membership) setView(number int64, view keeper.View) {
	next := watcher.View{Number: number}
	for _, member := range view.Members {
		next.Members = append(next.Members, watcherMember(member))
	}
	for _, member := range view.Departing {
		next.Departing = append(next.Departing, watcher.Incarnation(member.Incarnation))
	}
	membership.watcher.SetView(next, time.Now())
	membership.updateLinks()
}

func watcherMember(member keeper.Member) watcher.Member {
	return watcher.Member{Name: member.Name, Incarnation: watcher.Incarnation(member.Incarnation), Address: member.Address}
}

func keeperMembers(members ...watcher.Member) []keeper.Member {
	converted := make([]keeper.Member, len(members))
	for i, member := range members {
		converted[i] = keeper.Member{Name: member.Name, Incarnation: string(member.Incarnation), Address: member.Address}
	}
	return converted
}

// updateLinks maintains links to the listed instances and to all members of the view.
func (membership *membership) updateLinks() {
	_, view := membership.keeper.View()
	var peers []linker.Peer
	for _, member := range slices.Concat(view.Members, view.Departing) {
		peers = append(peers, linker.Peer{Name: member.Name, Address: member.Address})
	}
	membership.mu.Lock()
	for _, instance := range membership.listed {
		peers = append(peers, linker.Peer{Name: instance.Name, Address: instance.Address})
	}
	membership.mu.Unlock()
	membership.linker.SetMembers(peers)
}

// announceLeaving immediately notifies the other instances that this one begins a planned shutdown.
func (membership *membership) announceLeaving() {
	membership.watcher.SetLeaving()
	membership.sendHeartbeat(time.Now())
}

// sendHeartbeat sends a heartbeat to all connected instances of the failure domain.
func (membership *membership) sendHeartbeat(now time.Time) {
	own := membership.watcher.Heartbeat(now)
	heartbeat := linker.Heartbeat{View: own.View, Leaving: own.Leaving}
	for _, suspect := range own.Suspects {
		heartbeat.Suspects = append(heartbeat.Suspects, string(suspect))
	}
	membership.fillHeartbeat(&heartbeat)
	membership.linker.Broadcast(membership.linker.ConnectedIn(membership.domain), heartbeat)
}

// updateSuspects passes the suspected members to the keeper, and those that have not answered a sync request to the
// watcher.
func (membership *membership) updateSuspects(now time.Time) {
	suspects := make(map[string]bool)
	for _, suspect := range membership.watcher.Suspects(now) {
		suspects[string(suspect)] = true
	}
	for suspect := range suspects {
		if !membership.suspected[suspect] {
			membership.logger.Warn("member is suspected", "incarnation", suspect)
			membership.keeper.Suspect(suspect)
		}
	}
	for restored := range membership.suspected {
		if !suspects[restored] {
			membership.logger.Info("suspicion is revoked", "incarnation", restored)
			membership.keeper.ClearSuspicion(restored)
		}
	}
	membership.suspected = suspects
	unresponsive := membership.keeper.UnresponsiveMembers(now)
	_, view := membership.keeper.View()
	for _, member := range view.Members {
		answered := !slices.Contains(unresponsive, member.Incarnation)
		membership.watcher.SetSyncAnswered(watcher.Incarnation(member.Incarnation), answered, now)
	}
}

// checkAdoption notifies the keeper once every listed instance has adopted the view in force. From then on no owner of
// an earlier view can start jobs.
func (membership *membership) checkAdoption(now time.Time) {
	number, _ := membership.keeper.View()
	membership.mu.Lock()
	adopted := membership.listRead && !slices.ContainsFunc(membership.listed, func(instance lister.Instance) bool {
		if instance.Address == membership.self.Address {
			return false
		}
		last, heard := membership.lastHeartbeat[membership.hellos[instance.Address].Incarnation]
		return !heard || last.view < number
	})
	membership.mu.Unlock()
	if adopted && number > membership.adoptedByAll {
		membership.adoptedByAll = number
		membership.keeper.SetAdoptedByAll(number, now)
	}
}

// propose proposes the next view if one is due.
func (membership *membership) propose(ctx context.Context, now time.Time) {
	caughtUp, trimmed := membership.viewLog.state()
	if !caughtUp {
		return
	}
	if view, due := membership.takeover(now, trimmed); due {
		membership.viewLog.propose(ctx, view)
		return
	}
	if proposal, due := membership.watcher.Propose(now); due {
		view := keeper.View{
			Prev:      proposal.Previous,
			Members:   keeperMembers(slices.Concat(proposal.Keep, proposal.Add)...),
			Departing: keeperMembers(proposal.Depart...),
			Reset:     proposal.Previous == watcher.NoView && trimmed,
		}
		if !view.Reset || !membership.anyPeerHeardRecently(now) {
			membership.viewLog.propose(ctx, view)
		}
		return
	}
	if age, ok := membership.renewalAge(); ok {
		if view, due := membership.viewLog.renewal(now, age); due {
			membership.viewLog.propose(ctx, view)
		}
	}
}

// anyPeerHeardRecently reports whether a heartbeat arrived within the suspicion timeout. A reset is only allowed in a
// failure domain without live instances.
func (membership *membership) anyPeerHeardRecently(now time.Time) bool {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	for _, last := range membership.lastHeartbeat {
		if now.Sub(last.at) < watcher.SuspicionTimeout {
			return true
		}
	}
	return false
}

// renewalAge returns the age at which this member renews the view. Later members of the view wait longer, so that
// usually only one renews it. It returns false if this instance is not a member.
func (membership *membership) renewalAge() (time.Duration, bool) {
	_, view := membership.keeper.View()
	rank := slices.IndexFunc(view.Members, func(member keeper.Member) bool {
		return member.Incarnation == string(membership.self.Incarnation)
	})
	return membership.retention + time.Duration(rank)*watcher.SuspicionTimeout, rank >= 0
}

// takeover returns the view that replaces one without any remaining member, or the first view of an instance that has
// no instance list and is therefore alone. The watcher proposes views only for members, of which none is left. The
// takeover is safe although the start records of the lost view may be missing: the keeper starts no job under a key
// that was issued below the view floor, or under a plain key while its slice is closed.
func (membership *membership) takeover(now time.Time, trimmed bool) (keeper.View, bool) {
	number, view := membership.keeper.View()
	self := keeperMembers(membership.self)
	if number == keeper.NoView {
		alone := keeper.View{Prev: keeper.NoView, Members: self, Reset: trimmed}
		return alone, membership.lister == nil
	}
	membership.mu.Lock()
	defer membership.mu.Unlock()
	if _, member := view.Member(self[0].Incarnation); member || !membership.listRead || membership.anyMemberPresent(view, now) {
		membership.allGoneSince = time.Time{}
		return keeper.View{}, false
	}
	if membership.allGoneSince.IsZero() {
		membership.allGoneSince = now
	}
	if membership.lister != nil && now.Sub(membership.allGoneSince) < takeoverDelay {
		return keeper.View{}, false
	}
	for address, hello := range membership.hellos {
		listed := slices.ContainsFunc(membership.listed, func(instance lister.Instance) bool { return instance.Address == address })
		if listed && now.Sub(membership.lastHeartbeat[hello.Incarnation].at) < watcher.SuspicionTimeout {
			self = append(self, keeperMembers(helloMember(hello))...)
		}
	}
	return keeper.View{Prev: number, Members: self}, true
}

// anyMemberPresent reports whether a member of the view is still listed or sent a heartbeat within the suspicion
// timeout. The caller holds membership.mu.
func (membership *membership) anyMemberPresent(view keeper.View, now time.Time) bool {
	return slices.ContainsFunc(slices.Concat(view.Members, view.Departing), func(member keeper.Member) bool {
		if last, ok := membership.lastHeartbeat[member.Incarnation]; ok && now.Sub(last.at) < watcher.SuspicionTimeout {
			return true
		}
		return slices.ContainsFunc(membership.listed, func(instance lister.Instance) bool {
			hello, known := membership.hellos[instance.Address]
			return instance.Address == member.Address && (!known || hello.Incarnation == member.Incarnation)
		})
	})
}

// recentlyHeard returns the incarnations of this failure domain that sent a heartbeat within the suspicion timeout.
func (membership *membership) recentlyHeard(now time.Time) []string {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	var recent []string
	for incarnation, last := range membership.lastHeartbeat {
		if now.Sub(last.at) < watcher.SuspicionTimeout {
			recent = append(recent, incarnation)
		}
	}
	return recent
}
