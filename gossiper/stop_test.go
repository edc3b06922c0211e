package gossiper

import (
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/linker"
)

// A small instance announced its planned stop only to those that it exchanged heartbeats with. Others, which began to start work
// themselves when the larger ones stopped, expected heartbeats of it and took it for lost while it ran.
func TestStoppingInstanceIsNotTakenForLost(t *testing.T) {
	is := is.New(t)
	stopping, _, now := newTestGossiper(0.144)
	stopping.contact("large", 0.8)
	stopping.contact("small", 0.144)
	is.True(stopping.Delegating())
	stopping.Leave()
	announced := func() []string {
		var to []string
		for _, broadcast := range stopping.plan(*now).broadcasts {
			is.True(broadcast.update.Leaving)
			to = append(to, broadcast.to...)
		}
		slices.Sort(to)
		return to
	}
	is.Equal(announced(), []string{"large", "small"})
	*now = now.Add(heartbeatInterval)
	is.Equal(announced(), []string{"large"}) // the others receive the announcement once
	stopping.contact("late", 0.144)
	*now = now.Add(heartbeatInterval)
	is.Equal(announced(), []string{"large", "late"}) // its link has come up since
	stopping.Receive(linker.Hello{Domain: "a", Incarnation: "small", Weight: 0.144}, linker.LinkEnded{})
	stopping.contact("small", 0.144)
	*now = now.Add(heartbeatInterval)
	is.Equal(announced(), []string{"large", "small"}) // the message may have been lost with the former link

	observer, recorder, now := newTestGossiper(0.144)
	links := linker.New(observer.self, linker.DefaultLimits(), hclog.NewNullLogger(), func(linker.Hello, linker.Message) {})
	defer links.Close()
	observer.links = links
	hello := linker.Hello{Domain: "a", Name: "stopping", Incarnation: "stopping", Weight: 0.144}
	peer := linker.New(hello, linker.DefaultLimits(), hclog.NewNullLogger(), func(linker.Hello, linker.Message) {})
	server := httptest.NewServer(peer)
	defer server.Close()
	links.SetMembers([]linker.Peer{{Name: "stopping", Incarnation: "stopping", Address: server.Listener.Addr().String()}})
	for !observer.Reachable("stopping") {
		time.Sleep(time.Millisecond)
	}
	observer.Receive(hello, hello)
	observer.Receive(hello, linker.StateUpdate{Waiting: []int64{0}, Leaving: true})
	pass := func(period time.Duration) {
		for ; period > 0; period -= heartbeatInterval {
			*now = now.Add(heartbeatInterval)
			observer.detectLostPeers()
		}
	}
	pass(4 * PeerTimeout)
	is.Equal(len(recorder.lost), 0)
	is.Equal(len(observer.EligiblePeers()), 0)

	// One that still owns jobs must be detected, and so must the end of its link.
	observer.Receive(hello, linker.StateUpdate{Waiting: []int64{0}, Leaving: true, Busy: true})
	pass(2 * PeerTimeout)
	is.Equal(recorder.lost, []string{"stopping"})
	observer.Receive(hello, linker.StateUpdate{Waiting: []int64{0}, Leaving: true})
	peer.Close()
	for observer.Reachable("stopping") {
		time.Sleep(time.Millisecond)
	}
	pass(2 * PeerTimeout)
	is.Equal(recorder.lost, []string{"stopping", "stopping"})
}

// A stopping instance that others expect nothing of may take on a job, for which it must be heard from.
func TestStoppingInstanceThatSharesAJobIsDetected(t *testing.T) {
	is := is.New(t)
	observer, recorder, now := newTestGossiper(0.144)
	hello := linker.Hello{Domain: "a", Incarnation: "stopping", Weight: 0.144}
	observer.Receive(hello, hello)
	observer.Receive(hello, linker.StateUpdate{Waiting: []int64{0}, Leaving: true})
	*now = now.Add(10 * PeerTimeout)
	observer.checkedAt = *now
	observer.countSharedJob("stopping", 1)
	observer.detectLostPeers()
	is.Equal(len(recorder.lost), 0) // its silence before the job is no evidence
	for range 2 * PeerTimeout / heartbeatInterval {
		*now = now.Add(heartbeatInterval)
		observer.detectLostPeers()
	}
	is.Equal(recorder.lost, []string{"stopping"})
}
