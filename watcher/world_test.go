package watcher

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const tick = 100 * time.Millisecond

// proposer is what the cases run: the watcher, or the naive version that they must expose.
type proposer interface {
	SetInstanceList([]ListedInstance, time.Time)
	SetView(View, time.Time)
	ReceiveHeartbeat(Heartbeat, time.Time)
	Heartbeat(time.Time) Heartbeat
	Propose(time.Time) (Proposal, bool)
	SetLeaving()
}

// naive excludes whom it cannot hear and adds whom it can, at once.
type naive struct{ Watcher }

func newNaive(self Member, now time.Time) proposer { return &naive{Watcher: *New(self, now)} }

func (naive *naive) Propose(now time.Time) (Proposal, bool) {
	if naive.view.Number == NoView {
		return naive.Watcher.Propose(now)
	}
	proposal := Proposal{Previous: naive.view.Number}
	for _, member := range naive.view.Members {
		peer := naive.peers[member.Incarnation]
		switch {
		case naive.departs(member.Incarnation):
			proposal.Depart = append(proposal.Depart, member)
		case peer != nil && peer.suspected(now):
			proposal.Exclude = append(proposal.Exclude, member)
		default:
			proposal.Keep = append(proposal.Keep, member)
		}
	}
	for incarnation, peer := range naive.peers {
		if !contains(naive.view.Members, incarnation) && peer.listed && !peer.leaving && !peer.suspected(now) {
			proposal.Add = append(proposal.Add, peer.member)
		}
	}
	return proposal, !proposal.empty() && len(proposal.Keep)+len(proposal.Add) > 0
}

type instance struct {
	member  Member
	watcher proposer
	alive   bool
	leaving bool
	logCut  bool
	read    int
	beat    time.Duration
}

type logged struct {
	view View
	at   time.Time
}

// world is one failure domain with its log, its list, and links that can be cut.
type world struct {
	now       time.Time
	make      func(Member, time.Time) proposer
	instances []*instance
	cut       map[[2]string]bool
	views     []logged
	appends   int
	// wrongful counts the members that a view excluded although they were alive.
	wrongful int
	lists    [][]ListedInstance
	listLag  time.Duration
	// readDelay is the time from an append to its reading.
	readDelay time.Duration
}

func newWorld(make_ func(Member, time.Time) proposer, names string, listLag time.Duration) *world {
	world := &world{now: time.Unix(1_800_000_000, 0), make: make_, cut: make(map[[2]string]bool), listLag: listLag, readDelay: 300 * time.Millisecond}
	for _, name := range strings.Split(names, "") {
		world.start(name)
	}
	// The list knows the first instances from the beginning.
	for range int(listLag/tick) + 1 {
		world.lists = append(world.lists, world.list())
	}
	world.run(15 * time.Second)
	return world
}

func (world *world) start(name string) {
	generation := 0
	for _, instance := range world.instances {
		if instance.member.Name == name {
			generation++
		}
	}
	member := Member{Name: name, Incarnation: Incarnation(fmt.Sprintf("%s-%d", name, generation)), Address: "10.0.0.1:8480"}
	world.instances = append(world.instances, &instance{
		member: member, watcher: world.make(member, world.now), alive: true, beat: time.Duration(len(world.instances)*137) * time.Millisecond % HeartbeatInterval,
	})
}

// get returns the present incarnation of an instance.
func (world *world) get(name string) *instance {
	var found *instance
	for _, instance := range world.instances {
		if instance.member.Name == name {
			found = instance
		}
	}
	return found
}

func (world *world) link(a, b string, up bool) {
	world.cut[[2]string{a, b}], world.cut[[2]string{b, a}] = !up, !up
}

func (world *world) list() []ListedInstance {
	var list []ListedInstance
	for _, instance := range world.instances {
		if instance.alive {
			list = append(list, ListedInstance{Member: instance.member, Leaving: instance.leaving})
		}
	}
	return list
}

func (world *world) members() string {
	if len(world.views) == 0 {
		return ""
	}
	var names []string
	for _, member := range world.views[len(world.views)-1].view.Members {
		names = append(names, string(member.Incarnation))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

func (world *world) run(duration time.Duration) {
	for range int(duration / tick) {
		world.now = world.now.Add(tick)
		world.lists = append(world.lists, world.list())
		seen := world.lists[len(world.lists)-1-int(world.listLag/tick)]
		for _, instance := range slices.Clone(world.instances) {
			if instance.alive {
				world.step(instance, seen)
			}
		}
	}
}

func (world *world) step(instance *instance, list []ListedInstance) {
	if !instance.logCut {
		instance.watcher.SetInstanceList(list, world.now)
		for instance.read < len(world.views) && !world.now.Before(world.views[instance.read].at.Add(world.readDelay)) {
			instance.watcher.SetView(world.views[instance.read].view, world.now)
			instance.read++
		}
	}
	if instance.beat += tick; instance.beat >= HeartbeatInterval {
		instance.beat -= HeartbeatInterval
		heartbeat := instance.watcher.Heartbeat(world.now)
		for _, peer := range world.instances {
			if peer.alive && peer != instance && !world.cut[[2]string{instance.member.Name, peer.member.Name}] {
				peer.watcher.ReceiveHeartbeat(heartbeat, world.now)
			}
		}
	}
	if proposal, ok := instance.watcher.Propose(world.now); ok && !instance.logCut {
		world.append(proposal)
	}
}

// append applies the log's rule: the first record that names the present view as its previous one is the next view.
func (world *world) append(proposal Proposal) {
	world.appends++
	present := int64(NoView)
	if len(world.views) > 0 {
		present = world.views[len(world.views)-1].view.Number
	}
	if proposal.Previous != present {
		return
	}
	view := View{Number: int64(world.appends), Members: append(slices.Clone(proposal.Keep), proposal.Add...)}
	for _, member := range proposal.Depart {
		view.Departing = append(view.Departing, member.Incarnation)
	}
	for _, member := range proposal.Exclude {
		if instance := world.get(member.Name); instance.alive && instance.member == member {
			world.wrongful++
		}
	}
	world.views = append(world.views, logged{view: view, at: world.now})
}
