package supervisor

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/platform"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

const (
	// registerRetryDelay is the delay between attempts to register.
	registerRetryDelay = 300 * time.Millisecond
	// registerTimeout bounds one attempt to register or unregister.
	registerTimeout = 700 * time.Millisecond
	// minRestoreDelay and maxRestoreDelay bound the time from when the record of this instance is found missing until it is
	// written again, which doubles each time. The shortest one lets a record that has just been written be read first.
	minRestoreDelay = 300 * time.Millisecond
	maxRestoreDelay = 20 * time.Second
)

// recordState is what the store holds under the name of this instance.
type recordState int32

const (
	// recordMissing means no record, or one that cannot be read.
	recordMissing recordState = iota
	// recordOwn means the record of this incarnation.
	recordOwn
	// recordOther means the record of another incarnation.
	recordOther
)

// recordStore is the store as a publisher uses it.
type recordStore interface {
	// Put writes a record; an empty value deletes it. It may take effect seconds after it has failed.
	Put(ctx context.Context, topic, key string, value []byte) error
}

// publisher keeps the record of this instance in the store. A late write of a former incarnation can delete or replace the record, and
// other instances would drop this one.
type publisher struct {
	self   linker.Hello
	store  recordStore
	now    func() time.Time
	logger hclog.Logger
	// state is the recordState that was read last. notOwn is signalled when a read has found another state than recordOwn.
	state  atomic.Int32
	notOwn chan struct{}
	// cancel stops the goroutine that writes the record, and stopped is closed when it has ended.
	cancel  context.CancelFunc
	stopped chan struct{}
}

// newPublisher returns a publisher that keeps the record in the store until ctx is done or unregister is called.
func newPublisher(ctx context.Context, self linker.Hello, store recordStore, now func() time.Time, logger hclog.Logger) *publisher {
	ctx, cancel := context.WithCancel(ctx)
	publisher := &publisher{self: self, store: store, now: now, logger: logger, notOwn: make(chan struct{}, 1), cancel: cancel, stopped: make(chan struct{})}
	go func() {
		defer close(publisher.stopped)
		publisher.keepRegistered(ctx)
	}()
	return publisher
}

// stored returns the state of the record that was read last.
func (publisher *publisher) stored() recordState { return recordState(publisher.state.Load()) }

// setStored sets the state of the record that has been read.
func (publisher *publisher) setStored(state recordState) {
	publisher.state.Store(int32(state))
	if state != recordOwn {
		select {
		case publisher.notOwn <- struct{}{}:
		default:
		}
	}
}

// keepRegistered writes the record of this instance, and writes it again each time that it is no longer in the store.
func (publisher *publisher) keepRegistered(ctx context.Context) {
	delay := minRestoreDelay
	for publisher.register(ctx) {
		stableAt := publisher.now().Add(maxRestoreDelay)
		for state := recordOwn; state == recordOwn; state = publisher.stored() {
			select {
			case <-ctx.Done():
				return
			case <-publisher.notOwn:
			}
			if !publisher.now().Before(stableAt) {
				delay = minRestoreDelay
			}
			if !sleeper.For(ctx, delay) {
				return
			}
		}
		publisher.logger.Warn("record of this instance is not in the store, registering again", "replaced", publisher.stored() == recordOther)
		delay = min(2*delay, maxRestoreDelay)
	}
}

// register writes the record and retries until the store accepts it. It returns false if ctx was done first.
func (publisher *publisher) register(ctx context.Context) bool {
	value, err := json.Marshal(instanceRecord{publisher.self.Domain, publisher.self.Incarnation, publisher.self.Address})
	if err != nil {
		panic(eris.Wrap(err, "encoding an instance record"))
	}
	for failures := 0; ctx.Err() == nil; failures++ {
		if err := publisher.put(ctx, value); err == nil {
			publisher.logger.Info("instance registered", "address", publisher.self.Address, "failures", failures)
			return true
		} else if failures == 0 {
			publisher.logger.Warn("cannot register instance, retrying", "error", eris.ToString(err, false))
		}
		sleeper.For(ctx, registerRetryDelay)
	}
	return false
}

// unregister deletes the record of this instance, unless ctx is done first. If the store is unavailable, the record stays, and the other
// instances detect from their closed links that this one has ended. The record of another incarnation is left alone.
func (publisher *publisher) unregister(ctx context.Context) {
	publisher.cancel()
	<-publisher.stopped
	if publisher.stored() == recordOther {
		publisher.logger.Warn("instance record not deleted, since it is that of another incarnation")
		return
	}
	if err := publisher.put(ctx, nil); err != nil {
		publisher.logger.Warn("cannot delete instance record", "error", eris.ToString(err, false))
	}
}

func (publisher *publisher) put(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return publisher.store.Put(ctx, platform.InstanceTopic, publisher.self.Name, value)
}
