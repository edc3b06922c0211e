package supervisor

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/follower"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/platform"
	"github.com/hyssoplift/hyssoplift/scheduler"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

// targetRegistry holds the entries of the targets; its follower alone uses it.
type targetRegistry struct {
	logger  hclog.Logger
	targets map[string]scheduler.Target
}

func newTargetRegistry(logger hclog.Logger) *targetRegistry {
	return &targetRegistry{logger: logger, targets: make(map[string]scheduler.Target)}
}

// update takes records of targets and reports whether any target changed; heartbeats change nothing.
func (registry *targetRegistry) update(update follower.Update) bool {
	changed := false
	if update.Snapshot {
		listed := make(map[string]bool, len(update.Records))
		for _, record := range update.Records {
			listed[record.Key] = true
		}
		for id := range registry.targets {
			if !listed[id] {
				delete(registry.targets, id)
				changed = true
			}
		}
	}
	for _, record := range update.Records {
		changed = registry.apply(record) || changed
	}
	return changed || update.Snapshot
}

func (registry *targetRegistry) apply(record follower.Record) bool {
	known, ok := registry.targets[record.Key]
	if len(record.Value) == 0 {
		delete(registry.targets, record.Key)
		return ok
	}
	target, err := platform.DecodeTarget(record.Key, record.Value)
	if err != nil {
		registry.logger.Debug("entry names no target", "target", record.Key, "error", eris.ToString(err, false))
		delete(registry.targets, record.Key)
		return ok
	}
	registry.targets[record.Key] = target
	if !ok || known.Draining != target.Draining || known.Incarnation != target.Incarnation {
		registry.logger.Info("target known", "target", target.ID, "domain", target.Domain, "draining", target.Draining, "incarnation", target.Incarnation)
	}
	return !ok || !same(known, target)
}

func same(a, b scheduler.Target) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Domain == b.Domain && a.Capacity == b.Capacity &&
		a.Draining == b.Draining && a.Incarnation == b.Incarnation && slices.Equal(a.Labels, b.Labels)
}

func (registry *targetRegistry) list() []scheduler.Target {
	return slices.Collect(maps.Values(registry.targets))
}

const (
	// registerPause is the pause between attempts to register.
	registerPause = 300 * time.Millisecond
	// registerTimeout bounds one attempt.
	registerTimeout = 700 * time.Millisecond
)

// instanceRecord is how an instance tells the others where it is.
type instanceRecord struct {
	Domain      string `json:"domain"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
}

// peerRegistry holds the records of the other instances; its follower alone uses it.
type peerRegistry struct {
	self  linker.Hello
	peers map[string]linker.Peer
}

func newPeerRegistry(self linker.Hello) *peerRegistry {
	return &peerRegistry{self: self, peers: make(map[string]linker.Peer)}
}

// update takes records of instances and returns all known ones.
func (registry *peerRegistry) update(update follower.Update) []linker.Peer {
	if update.Snapshot {
		clear(registry.peers)
	}
	for _, record := range update.Records {
		var instance instanceRecord
		if len(record.Value) == 0 || json.Unmarshal(record.Value, &instance) != nil || record.Key == registry.self.Name {
			delete(registry.peers, record.Key)
			continue
		}
		registry.peers[record.Key] = linker.Peer{Name: record.Key, Incarnation: instance.Incarnation, Address: instance.Address}
	}
	return slices.Collect(maps.Values(registry.peers))
}

// register writes the own record until the store has taken it.
func (registry *peerRegistry) register(ctx context.Context, store *platform.Store, logger hclog.Logger) {
	value, err := json.Marshal(instanceRecord{registry.self.Domain, registry.self.Incarnation, registry.self.Address})
	if err != nil {
		panic(eris.Wrap(err, "encoding an instance record"))
	}
	for failures := 0; ctx.Err() == nil; failures++ {
		if err := registry.put(ctx, store, value); err == nil {
			logger.Info("instance registered", "address", registry.self.Address, "failures", failures)
			return
		} else if failures == 0 {
			logger.Warn("instance is not registered", "error", eris.ToString(err, false))
		}
		sleeper.For(ctx, registerPause)
	}
}

// unregister drops the own record, unless the store is away: links then show that the instance is gone.
func (registry *peerRegistry) unregister(store *platform.Store, logger hclog.Logger) {
	if err := registry.put(context.Background(), store, nil); err != nil {
		logger.Warn("instance record is not dropped", "error", eris.ToString(err, false))
	}
}

func (registry *peerRegistry) put(ctx context.Context, store *platform.Store, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return store.Put(ctx, platform.InstanceTopic, registry.self.Name, value)
}
