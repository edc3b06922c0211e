package gossiper

import (
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/linker"
)

// Instances disagree for a moment about who delegates. One that ran a job for another sent it no heartbeats, since it
// counted both as delegating, and was taken for lost by the origin, whose caller got 504.
func TestDelegateThatDelegatesItselfIsNotTakenForLost(t *testing.T) {
	is := is.New(t)
	delegate, _, now := newTestGossiper(0.144)
	delegate.contact("large", 0.8)
	delegate.contact("origin", 0.144)
	is.True(delegate.Delegating())
	*now = now.Add(heartbeatInterval)
	_, heartbeats := delegate.broadcastReceivers()
	is.Equal(len(heartbeats), 0)
	delegate.Receive(linker.Hello{Domain: "a", Incarnation: "origin", Weight: 0.144}, linker.Delegation{Job: "j"})
	_, heartbeats = delegate.broadcastReceivers()
	is.Equal(heartbeats, []string{"origin"}) // at once
	_ = delegate.AnswerDelegation("origin", linker.DelegationAnswer{Job: "j"})
	*now = now.Add(heartbeatInterval)
	_, heartbeats = delegate.broadcastReceivers()
	is.Equal(len(heartbeats), 0)
}

// An answer is a sign of life: a delegate that answered one job after the other and whose heartbeats were missing was taken for
// lost.
func TestDelegateThatAnswersIsNotTakenForLost(t *testing.T) {
	is := is.New(t)
	gossiper, recorder, _ := newTestGossiper(0.144)
	var clock atomic.Int64
	gossiper.now = func() time.Time { return time.Unix(1_000_000, clock.Load()) }
	gossiper.readUntil = gossiper.now
	limits := linker.DefaultLimits()
	links := linker.New(gossiper.self, limits, hclog.NewNullLogger(), gossiper.Receive)
	defer links.Close()
	gossiper.links = links
	var delegate *linker.Linker
	hello := linker.Hello{Domain: "a", Name: "large", Incarnation: "large", Weight: 0.8}
	delegate = linker.New(hello, limits, hclog.NewNullLogger(), func(from linker.Hello, message linker.Message) {
		if request, ok := message.(linker.Delegation); ok {
			_ = delegate.Send(from.Incarnation, linker.DelegationAnswer{ID: request.ID, Job: request.Job})
		}
	})
	defer delegate.Close()
	server := httptest.NewServer(delegate)
	defer server.Close()
	links.SetMembers([]linker.Peer{{Name: "large", Incarnation: "large", Address: server.Listener.Addr().String()}})
	for !gossiper.Reachable("large") || !gossiper.Alive("large") {
		time.Sleep(time.Millisecond)
	}
	for range 4 {
		clock.Add(int64(PeerTimeout * 3 / 10))
		_, err := gossiper.Call(t.Context(), "large", linker.Delegation{Job: "j"})
		is.NoErr(err)
		gossiper.detectLostPeers()
	}
	is.Equal(len(recorder.lost), 0)
	for range 4 {
		clock.Add(int64(PeerTimeout * 3 / 10))
		gossiper.detectLostPeers()
	}
	is.Equal(recorder.lost, []string{"large"}) // it has sent nothing since
}
