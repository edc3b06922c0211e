package watcher

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const tick = 100 * time.Millisecond

// viewProposer is implemented by the watcher and by the naive version, which the cases must distinguish.
type viewProposer interface {
	SetInstanceList([]ListedInstance, time.Time)
	SetView(View, time.Time)
	ReceiveHeartbeat(Heartbeat, time.Time)
	Heartbeat(time.Time) Heartbeat
	Propose(time.Time) (Proposal, bool)
	SetLeaving()
}

// naive excludes members that it suspects and adds instances that it does not suspect, at once and without regard to
// the other members.
type naive struct{ Watcher }

func newNaive(self Member, now time.Time) viewProposer { return &naive{Watcher: *New(self, now)} }

func (naive *naive) Propose(now time.Time) (Proposal, bool) {
	if naive.view.Number == NoView {
		return naive.Watcher.Propose(now)
	}
	proposal := Proposal{Previous: naive.view.Number}
	for _, member := range naive.view.Members {
		peer := naive.peers[member.Incarnation]
		switch {
		case naive.isLeaving(member.Incarnation):
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
	member         Member
	watcher        viewProposer
	alive          bool
	leaving        bool
	logCut         bool
	viewsRead      int
	sinceHeartbeat time.Duration
}

type loggedView struct {
	view View
	at   time.Time
}

// simulation is one failure domain in virtual time, with its log, its instance list, and links that can be cut.
type simulation struct {
	now         time.Time
	newProposer func(Member, time.Time) viewProposer
	instances   []*instance
	cut         map[[2]string]bool
	views       []loggedView
	appends     int
	// wronglyExcluded counts the members that a view excluded although they were alive.
	wronglyExcluded int
	lists           [][]ListedInstance
	listLag         time.Duration
	// readDelay is the time from an append until the record can be read.
	readDelay time.Duration
}

func newSimulation(newProposer func(Member, time.Time) viewProposer, names string, listLag time.Duration) *simulation {
	simulation := &simulation{now: time.Unix(1_800_000_000, 0), newProposer: newProposer, cut: make(map[[2]string]bool), listLag: listLag, readDelay: 300 * time.Millisecond}
	for _, name := range strings.Split(names, "") {
		simulation.start(name)
	}
	// The instance list holds the first instances from the beginning.
	for range int(listLag/tick) + 1 {
		simulation.lists = append(simulation.lists, simulation.list())
	}
	simulation.run(15 * time.Second)
	return simulation
}

func (simulation *simulation) start(name string) {
	generation := 0
	for _, instance := range simulation.instances {
		if instance.member.Name == name {
			generation++
		}
	}
	member := Member{Name: name, Incarnation: Incarnation(fmt.Sprintf("%s-%d", name, generation)), Address: "10.0.0.1:8480"}
	simulation.instances = append(simulation.instances, &instance{
		member: member, watcher: simulation.newProposer(member, simulation.now), alive: true, sinceHeartbeat: time.Duration(len(simulation.instances)*137) * time.Millisecond % HeartbeatInterval,
	})
}

// current returns the latest incarnation of an instance.
func (simulation *simulation) current(name string) *instance {
	var found *instance
	for _, instance := range simulation.instances {
		if instance.member.Name == name {
			found = instance
		}
	}
	return found
}

func (simulation *simulation) setLink(a, b string, up bool) {
	simulation.cut[[2]string{a, b}], simulation.cut[[2]string{b, a}] = !up, !up
}

func (simulation *simulation) list() []ListedInstance {
	var list []ListedInstance
	for _, instance := range simulation.instances {
		if instance.alive {
			list = append(list, ListedInstance{Member: instance.member, Leaving: instance.leaving})
		}
	}
	return list
}

func (simulation *simulation) members() string {
	if len(simulation.views) == 0 {
		return ""
	}
	var names []string
	for _, member := range simulation.views[len(simulation.views)-1].view.Members {
		names = append(names, string(member.Incarnation))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

func (simulation *simulation) run(duration time.Duration) {
	for range int(duration / tick) {
		simulation.now = simulation.now.Add(tick)
		simulation.lists = append(simulation.lists, simulation.list())
		seen := simulation.lists[len(simulation.lists)-1-int(simulation.listLag/tick)]
		for _, instance := range slices.Clone(simulation.instances) {
			if instance.alive {
				simulation.step(instance, seen)
			}
		}
	}
}

func (simulation *simulation) step(instance *instance, list []ListedInstance) {
	if !instance.logCut {
		instance.watcher.SetInstanceList(list, simulation.now)
		for instance.viewsRead < len(simulation.views) && !simulation.now.Before(simulation.views[instance.viewsRead].at.Add(simulation.readDelay)) {
			instance.watcher.SetView(simulation.views[instance.viewsRead].view, simulation.now)
			instance.viewsRead++
		}
	}
	if instance.sinceHeartbeat += tick; instance.sinceHeartbeat >= HeartbeatInterval {
		instance.sinceHeartbeat -= HeartbeatInterval
		heartbeat := instance.watcher.Heartbeat(simulation.now)
		for _, peer := range simulation.instances {
			if peer.alive && peer != instance && !simulation.cut[[2]string{instance.member.Name, peer.member.Name}] {
				peer.watcher.ReceiveHeartbeat(heartbeat, simulation.now)
			}
		}
	}
	if proposal, ok := instance.watcher.Propose(simulation.now); ok && !instance.logCut {
		simulation.append(proposal)
	}
}

// append applies the rule of the log: the first record that names the current view as its previous one is the next
// view.
func (simulation *simulation) append(proposal Proposal) {
	simulation.appends++
	currentNumber := int64(NoView)
	if len(simulation.views) > 0 {
		currentNumber = simulation.views[len(simulation.views)-1].view.Number
	}
	if proposal.Previous != currentNumber {
		return
	}
	view := View{Number: int64(simulation.appends), Members: append(slices.Clone(proposal.Keep), proposal.Add...)}
	for _, member := range proposal.Depart {
		view.Departing = append(view.Departing, member.Incarnation)
	}
	for _, member := range proposal.Exclude {
		if instance := simulation.current(member.Name); instance.alive && instance.member == member {
			simulation.wronglyExcluded++
		}
	}
	simulation.views = append(simulation.views, loggedView{view: view, at: simulation.now})
}
