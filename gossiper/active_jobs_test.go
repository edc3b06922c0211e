package gossiper

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/locator"
)

// announced returns how many active jobs the broadcasts that are due announce to each instance.
func (gossiper *Gossiper) announced() map[string]int {
	received := make(map[string]int)
	for _, broadcast := range gossiper.plan(gossiper.now()).broadcasts {
		for _, to := range broadcast.to {
			received[to] += len(broadcast.update.ActiveJobs)
		}
	}
	return received
}

// A caller may hand a job in again in any failure domain, so that all instances that start work must learn where it is active. An instance
// of an earlier revision closes the link when it receives an unknown field.
func TestActiveJobsAreAnnouncedToAllStartingInstances(t *testing.T) {
	is := is.New(t)
	gossiper, _, now := newTestGossiper(1)
	for _, hello := range []linker.Hello{
		{Domain: "a", Incarnation: "same", Weight: 1, Revision: linker.Revision},
		{Domain: "b", Incarnation: "other", Weight: 1, Revision: linker.Revision},
		{Domain: "a", Incarnation: "former", Weight: 1, Revision: linker.RevisionActiveJobs - 1},
		{Domain: "a", Incarnation: "delegating", Weight: 0.1, Revision: linker.Revision},
	} {
		gossiper.Receive(hello, hello)
	}
	gossiper.plan(*now)
	gossiper.AnnounceJob(locator.KeyOf("j"))
	received := gossiper.announced()
	is.Equal(received["same"], 1)
	// Broadcasts to other failure domains are less frequent.
	*now = now.Add(heartbeatInterval)
	for to, count := range gossiper.announced() {
		received[to] += count
	}
	is.Equal(received, map[string]int{"same": 1, "other": 1, "former": 0, "delegating": 0})
	gossiper.SendActiveJobs("former", []locator.Key{1})
	is.Equal(gossiper.outbox["former"], nil)
	gossiper.SendActiveJobs("same", []locator.Key{1, 2})
	is.Equal(gossiper.outbox["same"].ActiveJobs, []uint64{1, 2})
}

// A message with too many elements ends the link of its receiver.
func TestAnnouncementsOfActiveJobsAreBounded(t *testing.T) {
	is := is.New(t)
	gossiper, _, now := newTestGossiper(1)
	hello := linker.Hello{Domain: "a", Incarnation: "same", Weight: 1, Revision: linker.Revision}
	gossiper.Receive(hello, hello)
	keys := make([]locator.Key, linker.MaxElements+1)
	for _, key := range keys {
		gossiper.AnnounceJob(key)
	}
	total := 0
	for range len(keys)/maxActiveJobs + 1 {
		count := gossiper.announced()["same"]
		is.True(count <= maxActiveJobs)
		total += count
		*now = now.Add(time.Millisecond)
	}
	is.Equal(total, len(keys)) // the others follow
	gossiper.SendActiveJobs("same", keys)
	gossiper.SendActiveJobs("same", keys)
	is.Equal(len(gossiper.outbox["same"].ActiveJobs), maxActiveJobs)
}
