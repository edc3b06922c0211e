package watcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// cases run after a first view of all named instances; views and appends count what comes after it.
var cases = []struct {
	name    string
	names   string
	listLag time.Duration
	run     func(world *world)
	members string
	// views is the number of views that the case needs, wrongful that of live members that they may leave out.
	views, wrongful int
	// naivePasses marks cases in which the naive version needs no more views.
	naivePasses bool
	// appends is the number of appends, if proposers must lose races.
	appends int
}{
	{"quiet", "abc", 0, func(world *world) { world.run(time.Minute) }, "a-0 b-0 c-0", 0, 0, true, 0},
	{"two of three cannot hear each other", "abc", 0, func(world *world) {
		world.link("a", "c", false)
		world.run(time.Minute)
	}, "a-0 b-0 c-0", 0, 0, false, 0},
	{"two of five cannot hear each other, on and off", "abcde", 0, func(world *world) {
		for range 10 {
			world.link("a", "c", false)
			world.run(5 * time.Second)
			world.link("a", "c", true)
			world.run(5 * time.Second)
		}
	}, "a-0 b-0 c-0 d-0 e-0", 0, 0, false, 0},
	{"instance silent, list lagging by 40 s", "abcd", 40 * time.Second, func(world *world) {
		world.get("d").alive = false
		world.run(time.Minute)
	}, "a-0 b-0 c-0", 1, 0, true, 0},
	{"silent for less than the suspicion period", "abc", 0, func(world *world) {
		for range 10 {
			world.link("a", "c", false)
			world.link("b", "c", false)
			world.run(1900 * time.Millisecond)
			world.link("a", "c", true)
			world.link("b", "c", true)
			world.run(5 * time.Second)
		}
	}, "a-0 b-0 c-0", 0, 0, false, 0},
	{"one cut off from all peers but not from the log", "abcd", 0, func(world *world) {
		for _, peer := range []string{"b", "c", "d"} {
			world.link("a", peer, false)
		}
		world.run(time.Minute)
	}, "b-0 c-0 d-0", 1, 1, false, 0},
	{"failure domain cut off from the log", "abcd", 0, func(world *world) {
		for _, name := range []string{"a", "b", "c", "d"} {
			world.get(name).logCut = true
		}
		world.get("d").alive = false
		world.run(5 * time.Minute)
		for _, name := range []string{"a", "b", "c"} {
			world.get(name).logCut = false
		}
		world.run(time.Minute)
	}, "a-0 b-0 c-0", 1, 0, true, 0},
	{"rolling replacement of all, list lagging by 20 s", "abcdef", 20 * time.Second, func(world *world) {
		for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
			old := world.get(name)
			old.leaving = true
			old.watcher.SetLeaving()
			world.start(name)
			world.run(20 * time.Second)
			old.alive = false
			world.run(25 * time.Second)
		}
	}, "a-1 b-1 c-1 d-1 e-1 f-1", 12, 0, false, 0},
	{"restart of all within a second, list lagging by 20 s", "abcdef", 20 * time.Second, func(world *world) {
		for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
			world.get(name).alive = false
			world.start(name)
			world.run(45 * time.Second)
		}
	}, "a-1 b-1 c-1 d-1 e-1 f-1", 12, 0, false, 0},
	{"six join within two seconds", "ab", 0, func(world *world) {
		for _, name := range []string{"c", "d", "e", "f", "g", "h"} {
			world.start(name)
			world.run(300 * time.Millisecond)
		}
		world.run(time.Minute)
	}, "a-0 b-0 c-0 d-0 e-0 f-0 g-0 h-0", 1, 0, false, 0},
	{"candidate that only one member hears", "abcd", 0, func(world *world) {
		for _, member := range []string{"b", "c", "d"} {
			world.link("e", member, false)
		}
		world.start("e")
		world.run(time.Minute)
	}, "a-0 b-0 c-0 d-0", 0, 0, false, 0},
	{"majority silent, until the list drops them after 40 s", "abcde", 40 * time.Second, func(world *world) {
		for _, name := range []string{"c", "d", "e"} {
			world.get(name).alive = false
		}
		world.run(30 * time.Second)
		if world.members() != "a-0 b-0 c-0 d-0 e-0" {
			world.wrongful += 100
		}
		world.run(time.Minute)
	}, "a-0 b-0", 1, 0, false, 0},
	{"two proposers on a log that takes 1.2 s", "abcd", 0, func(world *world) {
		world.readDelay = 1200 * time.Millisecond
		world.get("d").alive = false
		world.run(time.Minute)
	}, "a-0 b-0 c-0", 1, 0, true, 3},
	{"last but one dies", "ab", 0, func(world *world) {
		world.get("b").alive = false
		world.run(time.Minute)
	}, "a-0", 1, 0, true, 0},
}

// Guards against needless views, each of which makes owners sync, and against views that leave out live members or keep
// dead ones.
func TestViews(t *testing.T) {
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			count := func(make_ func(Member, time.Time) proposer) (views, appends, wrongful int, members string) {
				world := newWorld(make_, test.names, test.listLag)
				views, appends = len(world.views), world.appends
				test.run(world)
				return len(world.views) - views, world.appends - appends, world.wrongful, world.members()
			}
			views, appends, wrongful, members := count(func(self Member, now time.Time) proposer { return New(self, now) })
			naiveViews, naiveAppends, naiveWrongful, _ := count(newNaive)
			t.Logf("views %d (naive %d), appends %d (naive %d), live members left out %d (naive %d)", views, naiveViews, appends, naiveAppends, wrongful, naiveWrongful)
			if views != test.views || wrongful != test.wrongful || members != test.members {
				t.Errorf("got %d views, %d live members left out and members %s; want %d, %d and %s", views, wrongful, members, test.views, test.wrongful, test.members)
			}
			if appends != max(views, test.appends) {
				t.Errorf("got %d appends for %d views, want %d", appends, views, max(views, test.appends))
			}
			if passes := naiveViews <= views && naiveWrongful <= wrongful; passes != test.naivePasses {
				t.Errorf("the naive version passes: got %t, want %t", passes, test.naivePasses)
			}
		})
	}
}

// Guards against a suspicion that outlives the silence, or an exclusion that does not last.
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
	is.Equal(watcher.Suspects(now), []Incarnation{"c-0"}) // the next heartbeat revokes a suspicion
	watcher.SetSyncAnswered("b-0", false, now)
	watcher.ReceiveHeartbeat(Heartbeat{From: b}, now)
	is.Equal(watcher.Suspects(now), []Incarnation{"b-0", "c-0"}) // a heartbeat does not stand for an answer
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

// Guards against a table of peers that grows without bound under forged or endless incarnations.
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
