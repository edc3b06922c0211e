package watcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// cases start after a first view of all named instances; views and appends count only what follows that view.
var cases = []struct {
	name    string
	names   string
	listLag time.Duration
	run     func(simulation *simulation)
	// members are the members of the last view.
	members string
	// views is the number of views that the case needs, wronglyExcluded that of live members that they may leave out.
	views, wronglyExcluded int
	// naivePasses marks cases in which the naive version needs no more views and leaves out no more live members.
	naivePasses bool
	// appends is the number of appends if it exceeds that of views, because some proposals must lose a race.
	appends int
}{
	{"quiet", "abc", 0, func(simulation *simulation) { simulation.run(time.Minute) }, "a-0 b-0 c-0", 0, 0, true, 0},
	{"two of three cannot hear each other", "abc", 0, func(simulation *simulation) {
		simulation.setLink("a", "c", false)
		simulation.run(time.Minute)
	}, "a-0 b-0 c-0", 0, 0, false, 0},
	{"two of five cannot hear each other, on and off", "abcde", 0, func(simulation *simulation) {
		for range 10 {
			simulation.setLink("a", "c", false)
			simulation.run(5 * time.Second)
			simulation.setLink("a", "c", true)
			simulation.run(5 * time.Second)
		}
	}, "a-0 b-0 c-0 d-0 e-0", 0, 0, false, 0},
	{"instance silent, list lagging by 40 s", "abcd", 40 * time.Second, func(simulation *simulation) {
		simulation.current("d").alive = false
		simulation.run(time.Minute)
	}, "a-0 b-0 c-0", 1, 0, true, 0},
	{"silent for less than the suspicion period", "abc", 0, func(simulation *simulation) {
		for range 10 {
			simulation.setLink("a", "c", false)
			simulation.setLink("b", "c", false)
			simulation.run(1900 * time.Millisecond)
			simulation.setLink("a", "c", true)
			simulation.setLink("b", "c", true)
			simulation.run(5 * time.Second)
		}
	}, "a-0 b-0 c-0", 0, 0, false, 0},
	{"one cut off from all peers but not from the log", "abcd", 0, func(simulation *simulation) {
		for _, peer := range []string{"b", "c", "d"} {
			simulation.setLink("a", peer, false)
		}
		simulation.run(time.Minute)
	}, "b-0 c-0 d-0", 1, 1, false, 0},
	{"failure domain cut off from the log", "abcd", 0, func(simulation *simulation) {
		for _, name := range []string{"a", "b", "c", "d"} {
			simulation.current(name).logCut = true
		}
		simulation.current("d").alive = false
		simulation.run(5 * time.Minute)
		for _, name := range []string{"a", "b", "c"} {
			simulation.current(name).logCut = false
		}
		simulation.run(time.Minute)
	}, "a-0 b-0 c-0", 1, 0, true, 0},
	{"rolling replacement of all, list lagging by 20 s", "abcdef", 20 * time.Second, func(simulation *simulation) {
		for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
			old := simulation.current(name)
			old.leaving = true
			old.watcher.SetLeaving()
			simulation.start(name)
			simulation.run(20 * time.Second)
			old.alive = false
			simulation.run(25 * time.Second)
		}
	}, "a-1 b-1 c-1 d-1 e-1 f-1", 12, 0, false, 0},
	{"restart of all within a second, list lagging by 20 s", "abcdef", 20 * time.Second, func(simulation *simulation) {
		for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
			simulation.current(name).alive = false
			simulation.start(name)
			simulation.run(45 * time.Second)
		}
	}, "a-1 b-1 c-1 d-1 e-1 f-1", 12, 0, false, 0},
	{"six join within two seconds", "ab", 0, func(simulation *simulation) {
		for _, name := range []string{"c", "d", "e", "f", "g", "h"} {
			simulation.start(name)
			simulation.run(300 * time.Millisecond)
		}
		simulation.run(time.Minute)
	}, "a-0 b-0 c-0 d-0 e-0 f-0 g-0 h-0", 1, 0, false, 0},
	{"candidate that only one member hears", "abcd", 0, func(simulation *simulation) {
		for _, member := range []string{"b", "c", "d"} {
			simulation.setLink("e", member, false)
		}
		simulation.start("e")
		simulation.run(time.Minute)
	}, "a-0 b-0 c-0 d-0", 0, 0, false, 0},
	{"majority silent, until the list drops them after 40 s", "abcde", 40 * time.Second, func(simulation *simulation) {
		for _, name := range []string{"c", "d", "e"} {
			simulation.current(name).alive = false
		}
		simulation.run(30 * time.Second)
		if simulation.members() != "a-0 b-0 c-0 d-0 e-0" {
			simulation.wronglyExcluded += 100 // makes the case fail
		}
		simulation.run(time.Minute)
	}, "a-0 b-0", 1, 0, false, 0},
	{"two proposers on a log that takes 1.2 s", "abcd", 0, func(simulation *simulation) {
		simulation.readDelay = 1200 * time.Millisecond
		simulation.current("d").alive = false
		simulation.run(time.Minute)
	}, "a-0 b-0 c-0", 1, 0, true, 3},
	{"last but one dies", "ab", 0, func(simulation *simulation) {
		simulation.current("b").alive = false
		simulation.run(time.Minute)
	}, "a-0", 1, 0, true, 0},
}

// TestViews guards against needless views, each of which makes owners sync, and against views that leave out live
// members or keep dead ones. In each case the naive version must pass or fail as stated.
func TestViews(t *testing.T) {
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			count := func(newProposer func(Member, time.Time) viewProposer) (views, appends, wronglyExcluded int, members string) {
				simulation := newSimulation(newProposer, test.names, test.listLag)
				views, appends = len(simulation.views), simulation.appends
				test.run(simulation)
				return len(simulation.views) - views, simulation.appends - appends, simulation.wronglyExcluded, simulation.members()
			}
			views, appends, wronglyExcluded, members := count(func(self Member, now time.Time) viewProposer { return New(self, now) })
			naiveViews, naiveAppends, naiveWronglyExcluded, _ := count(newNaive)
			t.Logf("views %d (naive %d), appends %d (naive %d), live members left out %d (naive %d)", views, naiveViews, appends, naiveAppends, wronglyExcluded, naiveWronglyExcluded)
			if views != test.views || wronglyExcluded != test.wronglyExcluded || members != test.members {
				t.Errorf("got %d views, %d live members left out and members %s; want %d, %d and %s", views, wronglyExcluded, members, test.views, test.wronglyExcluded, test.members)
			}
			if appends != max(views, test.appends) {
				t.Errorf("got %d appends for %d views, want %d", appends, views, max(views, test.appends))
			}
			if passes := naiveViews <= views && naiveWronglyExcluded <= wronglyExcluded; passes != test.naivePasses {
				t.Errorf("the naive version passes: got %t, want %t", passes, test.naivePasses)
			}
		})
	}
}

// TestSuspicion guards against a suspicion that does not end with the next heartbeat, and against an exclusion that
// does not last.
func TestSuspicion(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	a, b, c := Member{Name: "a", Incarnation: "a-0"}, Member{Name: "b", Incarnation: "b-0"}, Member{Name: "c", Incarnation: "c-0"}
	watcher := New(a, now)
	watcher.SetView(View{Number: 7, Members: []Member{a, b, c}}, now)
	is.Equal(watcher.Suspects(now.Add(SuspicionTimeout-1)), nil)
	now = now.Add(SuspicionTimeout)
	is.Equal(watcher.Suspects(now), []Incarnation{"b-0", "c-0"})
	watcher.ReceiveHeartbeat(Heartbeat{From: b, Suspects: []Incarnation{"c-0"}}, now)
	is.Equal(watcher.Suspects(now), []Incarnation{"c-0"}) // the next heartbeat ends a suspicion
	watcher.SetSyncAnswered("b-0", false, now)
	watcher.ReceiveHeartbeat(Heartbeat{From: b}, now)
	is.Equal(watcher.Suspects(now), []Incarnation{"b-0", "c-0"}) // a heartbeat does not replace the answer to a sync request
	watcher.SetSyncAnswered("b-0", true, now)
	is.Equal(watcher.Suspects(now), []Incarnation{"c-0"})
	watcher.SetView(View{Number: 9, Members: []Member{a, b}}, now)
	watcher.SetView(View{Number: 8, Members: []Member{a, b, c}}, now) // an older view changes nothing
	watcher.SetInstanceList([]ListedInstance{{Member: a}, {Member: b}, {Member: c}}, now)
	for range 30 {
		now = now.Add(HeartbeatInterval)
		watcher.ReceiveHeartbeat(Heartbeat{From: b}, now)
		watcher.ReceiveHeartbeat(Heartbeat{From: c}, now)
		_, ok := watcher.Propose(now)
		is.True(!ok) // an excluded incarnation does not come back
	}
	is.True(!watcher.Excluded())
	watcher.SetView(View{Number: 10, Members: []Member{b}}, now)
	is.True(watcher.Excluded())
}

// TestPeersAreBounded guards against a table of peers that grows without bound if ever more incarnations appear, forged
// or real.
func TestPeersAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	watcher := New(Member{Name: "a", Incarnation: "a-0"}, now)
	for i := range 2 * maxPeers {
		watcher.ReceiveHeartbeat(Heartbeat{From: Member{Incarnation: Incarnation(fmt.Sprint(i))}}, now)
	}
	is.Equal(len(watcher.peers), maxPeers)
	watcher.SetInstanceList(nil, now.Add(SuspicionTimeout))
	is.Equal(len(watcher.peers), 0)
}
