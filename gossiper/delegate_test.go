package gossiper

import (
	"testing"

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
