package gossiper

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/evacuator"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// newMixedGossiper returns a gossiper with a peer of the revision before evacuations, one of this revision, and one of this revision
// that delegates its jobs.
func newMixedGossiper() *Gossiper {
	gossiper, _, _ := newTestGossiper(1)
	for _, hello := range []linker.Hello{
		{Domain: "a", Incarnation: "former", Weight: 1, Revision: linker.RevisionEvacuations - 1},
		{Domain: "a", Incarnation: "present", Weight: 1, Revision: linker.Revision},
		{Domain: "a", Incarnation: "small", Weight: 0.1, Revision: linker.Revision},
	} {
		gossiper.Receive(hello, hello)
	}
	return gossiper
}

// An instance of an earlier revision closes the link when it receives an unknown field; all others must learn the version from any
// broadcast, and it must take no space while there is none.
func TestBroadcastsCarryTheEvacuationVersion(t *testing.T) {
	is := is.New(t)
	gossiper := newMixedGossiper()
	versions := func() map[string]int64 {
		gossiper.RequestEvacuations() // a heartbeat is due
		gossiper.Report(scheduler.CapacityReport{Target: "t"})
		versions := make(map[string]int64)
		for _, broadcast := range gossiper.plan(gossiper.now()).broadcasts {
			for _, to := range broadcast.to {
				_, twice := versions[to]
				is.True(!twice)
				versions[to] = broadcast.update.EvacuationVersion
				is.Equal(len(broadcast.update.FreeCapacity) > 0, to != "small")
			}
		}
		return versions
	}
	is.Equal(versions(), map[string]int64{"former": 0, "present": 0, "small": 0})
	gossiper.SetEvacuationVersion(7)
	is.Equal(versions(), map[string]int64{"former": 0, "present": 7, "small": 7})
}

// Records that wait for a full link must not add up, and must not be sent to an instance of an earlier revision.
func TestEvacuationsAreSentOnce(t *testing.T) {
	is := is.New(t)
	gossiper := newMixedGossiper()
	gossiper.SendEvacuations("former", []evacuator.Record{{Domain: "a", Version: 1, Evacuated: true}})
	gossiper.SendEvacuations("unknown", []evacuator.Record{{Domain: "a", Version: 1, Evacuated: true}})
	gossiper.SendEvacuations("present", []evacuator.Record{{Domain: "a", Version: 1, Evacuated: true}})
	gossiper.SendEvacuations("present", []evacuator.Record{{Domain: "a", Version: 2}, {Domain: "b", Version: 3, Evacuated: true}})
	is.Equal(len(gossiper.outbox), 1)
	is.Equal(gossiper.outbox["present"].Evacuations, []linker.Evacuation{{Domain: "a", Version: 2}, {Domain: "b", Version: 3, Evacuated: true}})
}

// The readers of targets must know whether any instance learns of evacuations by their reports alone.
func TestEarlierRevisionsAreUnawareOfEvacuations(t *testing.T) {
	is := is.New(t)
	gossiper := newMixedGossiper()
	is.True(gossiper.Answering().Unaware)
	gossiper.peers["former"].lost = true
	answering := gossiper.Answering()
	is.True(!answering.Unaware)
	slices.Sort(answering.Answering)
	is.Equal(answering.Answering, []string{"present", "small"})
}
