package gossiper

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// connections counts the instances that are sent what they may have missed.
type connections struct {
	recorder
	count int
}

func (connections *connections) PeerConnected(string) { connections.count++ }

// A heartbeat is contact with its sender. It must not hide from a delegating instance, which may start runs of its own at any
// time, that a target is unreachable.
func TestHeartbeatsCarryUnreachableTargets(t *testing.T) {
	is := is.New(t)
	large, _, now := newTestGossiper(0.8)
	large.contact("small", 0.144)
	large.Report(scheduler.CapacityReport{Target: "t", Unreachable: true})
	told, contacts := false, 0
	for range 3 {
		for _, broadcast := range large.plan(*now).broadcasts {
			if slices.Contains(broadcast.to, "small") {
				contacts++
				told = told || len(broadcast.update.FreeCapacity) > 0
			}
		}
		*now = now.Add(heartbeatInterval)
	}
	is.True(contacts > 0)
	is.True(told) // small counts as in contact, and does not know of the report
}

// A delegating instance of another domain gets no broadcasts while it runs nothing. It must be sent what it has missed before the
// first one.
func TestInstanceThatBecomesBusyLearnsWhatItHasMissed(t *testing.T) {
	is := is.New(t)
	large, _, now := newTestGossiper(0.8)
	receiver := &connections{}
	large.receiver = receiver
	large.contact("local", 0.8)
	small := linker.Hello{Domain: "b", Incarnation: "small", Weight: 0.144}
	large.Receive(small, small)
	connected := receiver.count
	large.Report(scheduler.CapacityReport{Target: "t", Unreachable: true})
	*now = now.Add(heartbeatInterval)
	for _, broadcast := range large.plan(*now).broadcasts {
		is.True(!slices.Contains(broadcast.to, "small"))
	}
	large.Receive(small, linker.StateUpdate{Waiting: []int64{0}, Busy: true})
	is.Equal(receiver.count, connected+1)
}
