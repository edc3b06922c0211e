package gossiper

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

func repeated(weight float64, count int) []float64 { return slices.Repeat([]float64{weight}, count) }

// Guards against small instances that fill their processor with as many callers as large ones have, against hops that
// like instances do not need, and against few large instances that would get the jobs of many small ones.
func TestDelegationBound(t *testing.T) {
	tests := []struct {
		name    string
		weights []float64
		passing int
	}{
		{"alone", repeated(0.4, 1), 0},
		{"all alike", repeated(0.4, 9), 0},
		{"a little apart", append(repeated(0.4, 5), repeated(0.5, 5)...), 0},
		{"six large, nine medium, many small", append(append(repeated(0.8, 6), repeated(0.48, 9)...), repeated(0.144, 22)...), 22},
		{"one large, many small", append(repeated(0.8, 1), repeated(0.144, 22)...), 0},
		{"none", nil, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			bound := delegationBound(test.weights)
			passing := 0
			for _, weight := range test.weights {
				if weight < bound {
					passing++
				}
			}
			is.Equal(passing, test.passing)
		})
	}
}

// recording is a receiver that notes the instances that are gone.
type recording struct{ gone []string }

func (*recording) HandleStateUpdate(string, linker.StateUpdate) {}
func (recording *recording) PeerLost(from string)               { recording.gone = append(recording.gone, from) }
func (*recording) HandleDelegation(string, linker.Delegation)   {}
func (*recording) LinkEnded(string)                             {}

// newTestGossiper returns a gossiper without goroutines, whose time is set through the pointer.
func newTestGossiper(weight float64) (*Gossiper, *recording, *time.Time) {
	now := time.Unix(1_000_000, 0)
	receiver := &recording{}
	return &Gossiper{
		self: linker.Hello{Domain: "a", Incarnation: "self", Weight: weight}, receiver: receiver, now: func() time.Time { return now },
		wake: make(chan struct{}, 1), changed: make(chan struct{}, 1), direct: make(map[string]*linker.StateUpdate), peers: make(map[string]*peer), ticked: now,
		reports: make(map[string]scheduler.CapacityReport), farReports: make(map[string]scheduler.CapacityReport),
	}, receiver, &now
}

func (gossiper *Gossiper) meet(incarnation string, weight float64) {
	hello := linker.Hello{Domain: "a", Incarnation: incarnation, Weight: weight}
	gossiper.Receive(hello, hello)
}

// Guards against roles that do not follow the instances: an instance passes its jobs on only while larger ones are heard
// of and stay, and instances that do so are not offered as readers or delegates.
func TestRolesFollowTheInstances(t *testing.T) {
	is := is.New(t)
	gossiper, _, now := newTestGossiper(0.144)
	is.True(!gossiper.Delegating())
	gossiper.meet("small", 0.144)
	is.True(!gossiper.Delegating())
	is.Equal(len(gossiper.EligiblePeers()), 1)
	gossiper.meet("large", 0.8)
	is.True(gossiper.Delegating())
	staying := gossiper.EligiblePeers()
	is.Equal(len(staying), 1)
	is.Equal(staying[0].Incarnation, "large")
	gossiper.Receive(linker.Hello{Domain: "a", Incarnation: "large", Weight: 0.8}, linker.StateUpdate{Waiting: []int64{0}, Leaving: true})
	is.True(!gossiper.Delegating()) // the only larger one leaves
	gossiper.meet("next", 0.8)
	is.True(gossiper.Delegating())
	*now = now.Add(PeerTimeout / 2)
	gossiper.watch()
	*now = now.Add(PeerTimeout)
	gossiper.ticked = *now
	gossiper.watch()
	is.True(!gossiper.Delegating()) // nothing was heard of it
}

// receivers returns the instances that get rooms and those that get heartbeats only in what is due.
func (gossiper *Gossiper) receivers() (rooms, beats []string) {
	gossiper.Report(scheduler.CapacityReport{Target: "t"})
	for _, broadcast := range gossiper.due(gossiper.now()).broadcasts {
		if len(broadcast.news.FreeCapacity) > 0 {
			rooms = append(rooms, broadcast.to...)
		} else {
			beats = append(beats, broadcast.to...)
		}
	}
	return rooms, beats
}

// Guards against broadcasts that all instances get: an instance that passes its jobs on needs heartbeats of the others
// only, a few times a second, and two such instances need nothing of each other.
func TestReceiversOfBroadcasts(t *testing.T) {
	is := is.New(t)
	large, _, now := newTestGossiper(0.8)
	large.meet("small", 0.144)
	large.meet("equal", 0.8)
	rooms, beats := large.receivers()
	is.Equal(rooms, []string{"equal"})
	is.Equal(beats, []string{"small"})
	rooms, beats = large.receivers()
	is.Equal(len(rooms), 1)
	is.Equal(len(beats), 0) // not due
	large.Leave()
	_, beats = large.receivers()
	is.Equal(len(beats), 1) // a planned stop is told at once
	*now = now.Add(heartbeatTime)
	_, beats = large.receivers()
	is.Equal(len(beats), 1)

	small, _, _ := newTestGossiper(0.144)
	small.meet("small", 0.144)
	small.meet("large", 0.8)
	rooms, beats = small.receivers()
	is.Equal(rooms, []string{"large"})
	is.Equal(len(beats), 0)
}

// Guards against broadcasts to other failure domains that cost as much as those to the own one, against rooms that they
// never hear of, and against silence that they would take for a loss.
func TestOtherDomainsHearLessOften(t *testing.T) {
	is := is.New(t)
	gossiper, _, now := newTestGossiper(0.4)
	gossiper.meet("near", 0.4)
	far := linker.Hello{Domain: "b", Incarnation: "far", Weight: 0.4}
	gossiper.Receive(far, far)
	counts := make(map[string]int)
	pause := gossiper.due(*now).pause
	for range 30 {
		*now = now.Add(pause)
		gossiper.Report(scheduler.CapacityReport{Target: "t"})
		for _, broadcast := range gossiper.due(*now).broadcasts {
			for _, to := range broadcast.to {
				counts[to] += len(broadcast.news.FreeCapacity)
			}
		}
	}
	is.Equal(counts["near"], 30)
	is.True(counts["far"] >= 10 && counts["far"] <= 16)
	gossiper.Report(scheduler.CapacityReport{Target: "t"})
	gossiper.farSent = now.Add(-time.Millisecond)
	gossiper.beaten = *now
	is.Equal(len(gossiper.due(*now).broadcasts), 1)
	*now = now.Add(heartbeatTime)
	is.Equal(len(gossiper.due(*now).broadcasts), 2) // with the room that it has not heard of
}

// Guards against an instance that passes its jobs on, still has runs of its own, and hears of no renewed lease: it would
// take them to be lost. Found by Thang Long grown trouble-1 after a loss of power.
func TestBusyInstanceHearsOfRooms(t *testing.T) {
	is := is.New(t)
	large, _, _ := newTestGossiper(0.8)
	large.meet("small", 0.144)
	rooms, _ := large.receivers()
	is.Equal(len(rooms), 0)
	large.Receive(linker.Hello{Domain: "a", Incarnation: "small", Weight: 0.144}, linker.StateUpdate{Waiting: []int64{0}, Busy: true})
	rooms, beats := large.receivers()
	is.Equal(rooms, []string{"small"})
	is.Equal(len(beats), 0)
	large.Receive(linker.Hello{Domain: "a", Incarnation: "small", Weight: 0.144}, linker.StateUpdate{Waiting: []int64{0}})
	rooms, _ = large.receivers()
	is.Equal(len(rooms), 0)
}

// Guards against an instance that is taken to be gone because this one stood still, and against one that is never
// taken to be gone.
func TestSilenceIsNoticed(t *testing.T) {
	is := is.New(t)
	gossiper, receiver, now := newTestGossiper(0.4)
	gossiper.meet("peer", 0.4)
	*now = now.Add(10 * time.Second)
	gossiper.watch() // this instance stood still
	is.Equal(len(receiver.gone), 0)
	is.True(gossiper.Alive("peer"))
	for range 5 {
		*now = now.Add(heartbeatTime)
		gossiper.watch()
	}
	is.Equal(receiver.gone, []string{"peer"})
	is.True(!gossiper.Alive("peer"))
	gossiper.meet("peer", 0.4)
	is.True(gossiper.Alive("peer"))
}
