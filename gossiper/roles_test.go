package gossiper

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/apportioner"
	"github.com/hyssoplift/hyssoplift/linker"
)

// In a deployment of six large and 38 small instances all held connections to all targets, since too few were large. Some
// small ones must start work beside the large ones, more when large ones are lost, and fewer when they are back.
func TestRolesFollowThePlan(t *testing.T) {
	is := is.New(t)
	gossiper, recorder, now := newTestGossiper(0.8)
	gossiper.SetTargetConnections(64)
	receive := func(name string, weight float64) {
		hello := linker.Hello{Domain: "a", Name: name, Incarnation: name + "-1", Weight: weight}
		gossiper.Receive(hello, hello)
	}
	receiveAll := func(large int) {
		for i := range large {
			receive(fmt.Sprintf("large-%d", i), 0.8)
		}
		for i := range 38 {
			receive(fmt.Sprintf("small-%d", i), 0.192)
		}
	}
	receiveAll(5)
	plan := gossiper.Apportionment()
	is.Equal(plan.Rule(), apportioner.RulePrefix)
	is.Equal(len(gossiper.EligiblePeers()), 12)
	is.Equal(gossiper.ConnectionLimit(false), 5)
	is.Equal(gossiper.ConnectionLimit(true), 6)
	is.True(!gossiper.Delegating())
	version := gossiper.PeersVersion()
	for range 2 * PeerTimeout / heartbeatInterval {
		*now = now.Add(heartbeatInterval)
		receiveAll(2)
		gossiper.detectLostPeers()
	}
	is.Equal(len(recorder.lost), 3)
	is.Equal(len(gossiper.EligiblePeers()), 15) // two large ones, and 13 small ones
	is.True(gossiper.PeersVersion() > version)
	receiveAll(5)
	is.Equal(len(gossiper.EligiblePeers()), 12)
	gossiper.SetTargetConnections(0)
	is.Equal(gossiper.ConnectionLimit(true), 0)
	is.True(gossiper.Uses("t", "a"))
}

// When targets accept fewer connections, readers and users of targets must be determined anew, although the same instances
// start work.
func TestChangedLimitAssignsTargetsAnew(t *testing.T) {
	is := is.New(t)
	gossiper, _, _ := newTestGossiper(0.1)
	gossiper.SetTargetConnections(64)
	for i := range 299 {
		gossiper.contact(fmt.Sprintf("peer-%d", i), 0.1)
	}
	version := gossiper.PeersVersion()
	gossiper.SetTargetConnections(64)
	is.Equal(gossiper.PeersVersion(), version)
	gossiper.SetTargetConnections(40)
	is.True(gossiper.PeersVersion() > version)
}
