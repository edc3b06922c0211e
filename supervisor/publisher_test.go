package supervisor

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/follower"
	"github.com/hyssoplift/hyssoplift/linker"
)

// instanceStore is a recordStore that holds the record of one instance, and passes each change to a registry as a follower would.
type instanceStore struct {
	registry *peerRegistry
	// started is closed when registry is set.
	started chan struct{}

	mu     sync.Mutex
	value  []byte
	writes int
	// failures is how many writes fail before one is accepted.
	failures int
}

func (store *instanceStore) Put(_ context.Context, _, _ string, value []byte) error {
	<-store.started
	store.mu.Lock()
	store.writes++
	failing := store.failures > 0
	if failing {
		store.failures--
	}
	store.mu.Unlock()
	if failing {
		return eris.New("store is down")
	}
	store.set(value)
	return nil
}

func (store *instanceStore) set(value []byte) {
	store.update(value, follower.Update{Records: []follower.Record{{Key: "node-1", Value: value}}})
}

// update sets the record, and passes an update to the registry.
func (store *instanceStore) update(value []byte, update follower.Update) []linker.Peer {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.value = value
	return store.registry.update(update)
}

// holds returns the incarnation in the record, or an empty one if there is no record, and the number of writes.
func (store *instanceStore) holds() (string, int) {
	store.mu.Lock()
	defer store.mu.Unlock()
	var record instanceRecord
	_ = json.Unmarshal(store.value, &record)
	return record.Incarnation, store.writes
}

// newPublishedInstance returns a store in which an instance has registered.
func newPublishedInstance(t *testing.T) *instanceStore {
	self := linker.Hello{Domain: "a", Name: "node-1", Incarnation: "present", Address: "127.0.0.1:1"}
	store := &instanceStore{failures: 2, started: make(chan struct{})}
	publisher := newPublisher(t.Context(), self, store, time.Now, hclog.NewNullLogger())
	store.registry = newPeerRegistry(self, publisher)
	close(store.started)
	time.Sleep(time.Minute)
	synctest.Wait()
	incarnation, writes := store.holds()
	is.New(t).Equal(incarnation, "present")
	is.New(t).Equal(writes, 3) // with the two that failed
	return store
}

// The deletion that a former incarnation had sent at its planned stop was carried out after the present one had registered. The instance
// stayed without a record, and others dropped it until it was restarted.
func TestLostRecordIsWrittenAgain(t *testing.T) {
	former, err := json.Marshal(instanceRecord{Domain: "a", Incarnation: "former", Address: "127.0.0.1:1"})
	is.New(t).NoErr(err)
	tests := []struct {
		name string
		lose func(store *instanceStore)
	}{
		{"late deletion", func(store *instanceStore) { store.set(nil) }},
		{"late registration", func(store *instanceStore) { store.set(former) }},
		{"unreadable", func(store *instanceStore) { store.set([]byte("\xff")) }},
		{"missing in a snapshot", func(store *instanceStore) { store.update(nil, follower.Update{Snapshot: true}) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newPublishedInstance(t)
				for number := range 2 {
					test.lose(store)
					time.Sleep(2 * minRestoreDelay)
					synctest.Wait()
					incarnation, writes := store.holds()
					is.Equal(incarnation, "present")
					is.Equal(writes, 4+number)
					time.Sleep(2 * maxRestoreDelay)
					synctest.Wait()
				}
			})
		})
	}
}

// Calls of the store are priced: while the record is in the store, nothing may be written, and two processes with one name must not replace
// each other's record at a high rate.
func TestRecordIsNotWrittenWithoutNeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newPublishedInstance(t)
		own, err := json.Marshal(instanceRecord{Incarnation: "present"})
		is.NoErr(err)
		for range 100 {
			peers := store.update(own, follower.Update{Records: []follower.Record{{Key: "node-2", Value: own}}})
			is.Equal(len(peers), 1)
			time.Sleep(time.Second)
		}
		synctest.Wait()
		_, writes := store.holds()
		is.Equal(writes, 3)
		const period = 10 * time.Minute
		for began := time.Now(); time.Since(began) < period; time.Sleep(50 * time.Millisecond) {
			synctest.Wait()
			if incarnation, _ := store.holds(); incarnation != "" {
				store.set(nil)
			}
		}
		_, writes = store.holds()
		is.True(writes <= 3+10+int(period/maxRestoreDelay)) // ten until the delay is at its maximum
	})
}

// A planned stop must delete the record, not write it again, and leave that of another incarnation alone.
func TestUnregister(t *testing.T) {
	tests := []struct {
		name, stored, want string
	}{
		{"own record", "present", ""},
		{"record of another incarnation", "next", "next"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newPublishedInstance(t)
				value, err := json.Marshal(instanceRecord{Incarnation: test.stored})
				is.NoErr(err)
				store.set(value)
				store.registry.publisher.unregister(t.Context())
				time.Sleep(time.Hour)
				synctest.Wait()
				incarnation, _ := store.holds()
				is.Equal(incarnation, test.want)
			})
		})
	}
}
