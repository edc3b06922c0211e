package linker

import (
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// The state of a link must show a message that is still being handled.
func TestLinkStateShowsAMessageThatIsBeingHandled(t *testing.T) {
	is := is.New(t)
	sender := startNode(t, "a", "sender", testLimits())
	release := make(chan struct{})
	receiver := New(Hello{Domain: "a", Name: "receiver", Incarnation: "receiver-1"}, testLimits(), hclog.NewNullLogger(), func(_ Hello, message Message) {
		if _, ok := message.(StateUpdate); ok {
			<-release
		}
	})
	server := httptest.NewServer(receiver)
	t.Cleanup(func() {
		receiver.Close()
		server.Close()
	})
	sender.SetMembers([]Peer{{Name: "receiver", Incarnation: "receiver-1", Address: server.Listener.Addr().String()}})
	waitFor(t, "the instances are linked", func() bool { return sender.Connected("receiver-1") && receiver.Connected("sender-1") })
	state := func() *LinkState { return &receiver.LinkStates("sender-1")[0] }
	is.True(state().Handling() == 0)
	is.NoErr(sender.Send("receiver-1", StateUpdate{Busy: true}))
	waitFor(t, "the message is being handled", func() bool { return state().Handling() > 0 })
	close(release)
	waitFor(t, "the message has been handled", func() bool { return state().Handling() == 0 })
	is.True(state().ReceivedAge() <= state().Age())
	is.Equal(len(receiver.LinkStates("unknown")), 0)
}
