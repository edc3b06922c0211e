package gossiper

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/linker"
)

// The first job that an instance of another failure domain delegated counted as immediate, however long it had waited: without
// contact, no broadcast of its origin had arrived before.
func TestDelayOfTheFirstDelegationIsKnown(t *testing.T) {
	is := is.New(t)
	large, receiver, now := newTestGossiper(0.8)
	small, _, _ := newTestGossiper(0.144)
	small.self.Domain, small.self.Incarnation = "b", "small"
	large.Receive(small.self, small.self)
	small.Receive(large.self, large.self)
	const clockOffset = 5 * time.Hour
	for _, update := range small.outbox {
		update.SentUS = now.Add(clockOffset).UnixMicro()
		large.Receive(small.self, *update)
	}
	sent := now.Add(2 * time.Second)
	*now = now.Add(5 * time.Second)
	large.Receive(small.self, linker.Delegation{Job: "j", SentUS: sent.Add(clockOffset).UnixMicro()})
	is.Equal(receiver.delays, []time.Duration{3 * time.Second})
}

// A message that is read after a pause may have waited itself, so that it tells nothing about others that were read with it.
func TestDelayIsKnownOnlyAfterAMessage(t *testing.T) {
	is := is.New(t)
	gossiper, _, now := newTestGossiper(0.8)
	hello := linker.Hello{Domain: "b", Incarnation: "small", Weight: 0.144}
	gossiper.Receive(hello, hello)
	is.True(!gossiper.KnewDelayOf("small", now.Add(time.Second)))
	gossiper.Receive(hello, linker.StateUpdate{SentUS: 1})
	is.True(!gossiper.KnewDelayOf("small", *now))
	is.True(gossiper.KnewDelayOf("small", now.Add(time.Millisecond)))
	is.True(!gossiper.KnewDelayOf("another", now.Add(time.Second)))
}

// Messages at the begin of each link cost processor time on large deployments; they are sent only where nothing else tells the
// delay of delegated jobs.
func TestClockIsSentToPossibleDelegatesOnly(t *testing.T) {
	is := is.New(t)
	gossiper, _, _ := newTestGossiper(0.4)
	for _, hello := range []linker.Hello{
		{Domain: "a", Incarnation: "larger, same domain", Weight: 0.8},
		{Domain: "b", Incarnation: "larger", Weight: 0.8},
		{Domain: "b", Incarnation: "equal", Weight: 0.4},
		{Domain: "b", Incarnation: "smaller", Weight: 0.144},
	} {
		gossiper.Receive(hello, hello)
	}
	is.Equal(len(gossiper.outbox), 2)
	is.True(gossiper.outbox["larger"] != nil)
	is.True(gossiper.outbox["equal"] != nil)
}
