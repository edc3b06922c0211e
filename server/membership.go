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
	// membershipInterval is how often proposals and suspicions are looked at.
	membershipInterval = 100 * time.Millisecond
	// listInterval spaces reads of the instance list, which lags by more than that anyway.
	listInterval = time.Second
	// takeoverDelay is how long every member of the view must be gone before an instance outside it proposes
	// the next view; it lets candidates meet, so that they come into the same view.
	takeoverDelay = 2 * watcher.SuspicionTimeout
	// maxMet bounds the instances whose hellos are remembered.
	maxMet = 4096
)

// heard is the last heartbeat of an instance.
type heard struct {
	at   time.Time
	view int64
}

// membership connects the watcher with the list, the links, the views and the keeper.
type membership struct {
	self      watcher.Member
	domain    string
	watcher   *watcher.Watcher
	linker    *linker.Linker
	keeper    *keeper.Keeper
	views     *views
	lister    *lister.Lister
	retention time.Duration
	logger    hclog.Logger
	// status fills in what a heartbeat carries beyond the watcher's part.
	status func(*linker.Heartbeat)
	// excluded is closed when a view has left this incarnation out.
	excluded chan struct{}

	mu sync.Mutex
	// met holds the latest hello from each address of the own failure domain.
	met    map[string]linker.Hello
	heard  map[string]heard
	listed []lister.Instance
	read   bool
	// goneSince is since when no member of the view is listed or heard, or zero.
	goneSince time.Time
	suspected map[string]bool
	// accounted is the last view that every listed instance had adopted.
	accounted int64
}

// run follows the membership until ctx is done.
func (membership *membership) run(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	var beat time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.Sub(beat) >= watcher.HeartbeatInterval {
				beat = now
				membership.sendHeartbeat(now)
			}
			membership.followSuspicion(now)
			membership.account(now)
			membership.propose(ctx, now)
			if membership.watcher.Excluded() {
				close(membership.excluded)
				return
			}
		}
	}
}

// followList reads the instance list until ctx is done.
func (membership *membership) followList(ctx context.Context) {
	for ctx.Err() == nil {
		if membership.lister == nil {
			// Without a list this instance is alone in its failure domain.
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
	membership.listed, membership.read = instances, true
	listed := membership.knownOnes()
	membership.mu.Unlock()
	membership.watcher.SetInstanceList(listed, time.Now())
	membership.linkUp()
}

// knownOnes returns the listed instances whose incarnation is known from a hello; the list itself does not
// have it. The caller holds membership.mu.
func (membership *membership) knownOnes() []watcher.ListedInstance {
	var known []watcher.ListedInstance
	for _, instance := range membership.listed {
		leaving := instance.State == lister.Leaving
		if instance.Address == membership.self.Address {
			known = append(known, watcher.ListedInstance{Member: membership.self, Leaving: leaving})
		} else if hello, ok := membership.met[instance.Address]; ok {
			known = append(known, watcher.ListedInstance{Member: asMember(hello), Leaving: leaving})
		}
	}
	return known
}

func asMember(hello linker.Hello) watcher.Member {
	return watcher.Member{Name: hello.Name, Incarnation: watcher.Incarnation(hello.Incarnation), Address: hello.Address}
}

// meet notes the hello of a link that came up.
func (membership *membership) meet(hello linker.Hello) {
	if hello.Domain != membership.domain {
		return
	}
	membership.mu.Lock()
	if len(membership.met) >= maxMet {
		clear(membership.met)
	}
	membership.met[hello.Address] = hello
	listed, read := membership.knownOnes(), membership.read
	membership.mu.Unlock()
	if read {
		membership.watcher.SetInstanceList(listed, time.Now())
	}
}

// hear takes a heartbeat.
func (membership *membership) hear(from linker.Hello, heartbeat linker.Heartbeat) {
	if from.Domain != membership.domain {
		return
	}
	now := time.Now()
	suspects := make([]watcher.Incarnation, len(heartbeat.Suspects))
	for i, suspect := range heartbeat.Suspects {
		suspects[i] = watcher.Incarnation(suspect)
	}
	membership.mu.Lock()
	if len(membership.heard) >= maxMet {
		maps.DeleteFunc(membership.heard, func(_ string, last heard) bool { return now.Sub(last.at) >= watcher.SuspicionTimeout })
	}
	membership.heard[from.Incarnation] = heard{at: now, view: heartbeat.View}
	membership.mu.Unlock()
	membership.watcher.ReceiveHeartbeat(watcher.Heartbeat{From: asMember(from), View: heartbeat.View, Suspects: suspects, Leaving: heartbeat.Leaving}, now)
}

// setView passes a view in force on to the watcher and the links.
func (membership *membership) setView(number int64, view keeper.View) {
	next := watcher.View{Number: number}
	for _, member := range view.Members {
		next.Members = append(next.Members, watcherMember(member))
	}
	for _, member := range view.Departing {
		next.Departing = append(next.Departing, watcher.Incarnation(member.Incarnation))
	}
	membership.watcher.SetView(next, time.Now())
	membership.linkUp()
}

func watcherMember(member keeper.Member) watcher.Member {
	return watcher.Member{Name: member.Name, Incarnation: watcher.Incarnation(member.Incarnation), Address: member.Address}
}

func keeperMembers(members ...watcher.Member) []keeper.Member {
	kept := make([]keeper.Member, len(members))
	for i, member := range members {
		kept[i] = keeper.Member{Name: member.Name, Incarnation: string(member.Incarnation), Address: member.Address}
	}
	return kept
}

// linkUp keeps links to the listed instances and to everybody in the view.
func (membership *membership) linkUp() {
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

// leave tells the others at once that this instance begins a planned stop.
func (membership *membership) leave() {
	membership.watcher.SetLeaving()
	membership.sendHeartbeat(time.Now())
}

func (membership *membership) sendHeartbeat(now time.Time) {
	own := membership.watcher.Heartbeat(now)
	heartbeat := linker.Heartbeat{View: own.View, Leaving: own.Leaving}
	for _, suspect := range own.Suspects {
		heartbeat.Suspects = append(heartbeat.Suspects, string(suspect))
	}
	membership.status(&heartbeat)
	membership.linker.Broadcast(membership.linker.ConnectedIn(membership.domain), heartbeat)
}

// followSuspicion tells the keeper whom to avoid, and the watcher who owes the answer to a sync request.
func (membership *membership) followSuspicion(now time.Time) {
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
	for former := range membership.suspected {
		if !suspects[former] {
			membership.logger.Info("suspicion is revoked", "incarnation", former)
			membership.keeper.ClearSuspicion(former)
		}
	}
	membership.suspected = suspects
	silent := membership.keeper.UnresponsiveMembers(now)
	_, view := membership.keeper.View()
	for _, member := range view.Members {
		answered := !slices.Contains(silent, member.Incarnation)
		membership.watcher.SetSyncAnswered(watcher.Incarnation(member.Incarnation), answered, now)
	}
}

// account tells the keeper when every listed instance has adopted the view in force, so that no earlier owner
// can start anything any more.
func (membership *membership) account(now time.Time) {
	number, _ := membership.keeper.View()
	membership.mu.Lock()
	adopted := membership.read && !slices.ContainsFunc(membership.listed, func(instance lister.Instance) bool {
		if instance.Address == membership.self.Address {
			return false
		}
		last, heard := membership.heard[membership.met[instance.Address].Incarnation]
		return !heard || last.view < number
	})
	membership.mu.Unlock()
	if adopted && number > membership.accounted {
		membership.accounted = number
		membership.keeper.SetAdoptedByAll(number, now)
	}
}

// propose appends the next view if one is due.
func (membership *membership) propose(ctx context.Context, now time.Time) {
	caughtUp, trimmed := membership.views.state()
	if !caughtUp {
		return
	}
	if view, due := membership.takeover(now, trimmed); due {
		membership.views.propose(ctx, view)
		return
	}
	if proposal, due := membership.watcher.Propose(now); due {
		view := keeper.View{
			Prev:      proposal.Previous,
			Members:   keeperMembers(slices.Concat(proposal.Keep, proposal.Add)...),
			Departing: keeperMembers(proposal.Depart...),
			Reset:     proposal.Previous == watcher.NoView && trimmed,
		}
		if !view.Reset || !membership.someoneHasView(now) {
			membership.views.propose(ctx, view)
		}
		return
	}
	if age, ok := membership.renewalAge(); ok {
		if view, due := membership.views.renewal(now, age); due {
			membership.views.propose(ctx, view)
		}
	}
}

// someoneHasView says that a peer was heard lately: a reset is only for a failure domain in which nobody is left.
func (membership *membership) someoneHasView(now time.Time) bool {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	for _, last := range membership.heard {
		if now.Sub(last.at) < watcher.SuspicionTimeout {
			return true
		}
	}
	return false
}

// renewalAge returns the age at which this member renews the view; later members of the view wait longer, so
// that usually one renews.
func (membership *membership) renewalAge() (time.Duration, bool) {
	_, view := membership.keeper.View()
	turn := slices.IndexFunc(view.Members, func(member keeper.Member) bool {
		return member.Incarnation == string(membership.self.Incarnation)
	})
	return membership.retention + time.Duration(turn)*watcher.SuspicionTimeout, turn >= 0
}

// takeover returns the view that replaces one whose members have all gone, or the first view of an instance
// that is alone by its settings. The watcher proposes only for members, and none is left to do so. It is
// safe because the floor rule closes the epochs of the lost view.
func (membership *membership) takeover(now time.Time, trimmed bool) (keeper.View, bool) {
	number, view := membership.keeper.View()
	self := keeperMembers(membership.self)
	if number == keeper.NoView {
		alone := keeper.View{Prev: keeper.NoView, Members: self, Reset: trimmed}
		return alone, membership.lister == nil
	}
	membership.mu.Lock()
	defer membership.mu.Unlock()
	if _, member := view.Member(self[0].Incarnation); member || !membership.read || membership.anyLeft(view, now) {
		membership.goneSince = time.Time{}
		return keeper.View{}, false
	}
	if membership.goneSince.IsZero() {
		membership.goneSince = now
	}
	if membership.lister != nil && now.Sub(membership.goneSince) < takeoverDelay {
		return keeper.View{}, false
	}
	for address, hello := range membership.met {
		listed := slices.ContainsFunc(membership.listed, func(instance lister.Instance) bool { return instance.Address == address })
		if listed && now.Sub(membership.heard[hello.Incarnation].at) < watcher.SuspicionTimeout {
			self = append(self, keeperMembers(asMember(hello))...)
		}
	}
	return keeper.View{Prev: number, Members: self}, true
}

// anyLeft says that a member of the view is still listed, or was heard lately. The caller holds membership.mu.
func (membership *membership) anyLeft(view keeper.View, now time.Time) bool {
	return slices.ContainsFunc(slices.Concat(view.Members, view.Departing), func(member keeper.Member) bool {
		if last, ok := membership.heard[member.Incarnation]; ok && now.Sub(last.at) < watcher.SuspicionTimeout {
			return true
		}
		return slices.ContainsFunc(membership.listed, func(instance lister.Instance) bool {
			hello, met := membership.met[instance.Address]
			return instance.Address == member.Address && (!met || hello.Incarnation == member.Incarnation)
		})
	})
}

// heardLately returns the incarnations of the own failure domain that sent a heartbeat within the suspicion period.
func (membership *membership) heardLately(now time.Time) []string {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	var lately []string
	for incarnation, last := range membership.heard {
		if now.Sub(last.at) < watcher.SuspicionTimeout {
			lately = append(lately, incarnation)
		}
	}
	return lately
}
