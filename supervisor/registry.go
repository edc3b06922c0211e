package supervisor

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/clocker"
	"github.com/hyssoplift/hyssoplift/follower"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/platform"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// targetRegistry holds the targets listed in the store. Only the goroutine that follows the target topic uses it.
type targetRegistry struct {
	logger  hclog.Logger
	now     func() time.Time
	targets map[string]scheduler.Target
	// entries holds the encoded entries of targets.
	entries map[string][]byte
	// incarnationsNamed means that an entry has named the incarnation of its target. All targets of a platform do, or none;
	// an entry without it then comes from another writer.
	incarnationsNamed bool
}

func newTargetRegistry(logger hclog.Logger) *targetRegistry {
	return &targetRegistry{logger: logger, now: clocker.Now, targets: make(map[string]scheduler.Target), entries: make(map[string][]byte)}
}

// update applies records of targets and reports whether the list of targets may have changed. A snapshot always counts
// as a change. A record that only repeats what is known, such as a heartbeat, does not.
func (registry *targetRegistry) update(update follower.Update) bool {
	changed := false
	if update.Snapshot {
		present := make(map[string]bool, len(update.Records))
		for _, record := range update.Records {
			present[record.Key] = true
		}
		for id := range registry.targets {
			if !present[id] {
				delete(registry.targets, id)
				changed = true
			}
		}
	}
	for _, record := range update.Records {
		changed = registry.apply(record) || changed
	}
	return registry.dropUnnamed() || changed || update.Snapshot
}

// dropUnnamed removes the targets whose entries lack the incarnation that others name, and reports whether there were any.
func (registry *targetRegistry) dropUnnamed() bool {
	known := len(registry.targets)
	maps.DeleteFunc(registry.entries, func(id string, _ []byte) bool { _, listed := registry.targets[id]; return !listed })
	if registry.incarnationsNamed {
		maps.DeleteFunc(registry.targets, func(_ string, target scheduler.Target) bool { return target.Incarnation == 0 })
	}
	return len(registry.targets) < known
}

func (registry *targetRegistry) apply(record follower.Record) bool {
	previous, ok := registry.targets[record.Key]
	if len(record.Value) == 0 {
		delete(registry.targets, record.Key)
		return ok
	}
	// The entry of a cold target may say for longer than expected that it is cold.
	if ok && previous.ColdUntil.IsZero() && platform.IsHeartbeat(registry.entries[record.Key], record.Value) {
		return false
	}
	now := registry.now()
	target, err := platform.DecodeTarget(record.Key, record.Value, now)
	if err != nil {
		registry.logger.Debug("target entry is invalid, target not used", "target", record.Key, "error", eris.ToString(err, false))
		delete(registry.targets, record.Key)
		return ok
	}
	coldChanged := !ok || coldEndChanged(&previous, &target, now)
	if !coldChanged && !target.ColdUntil.IsZero() {
		// Small differences must not add up unnoticed.
		target.ColdUntil = previous.ColdUntil
	}
	registry.targets[record.Key], registry.entries[record.Key] = target, record.Value
	registry.incarnationsNamed = registry.incarnationsNamed || target.Incarnation != 0
	if !ok || previous.Draining != target.Draining || previous.Incarnation != target.Incarnation {
		registry.logger.Info("target updated", "target", target.ID, "domain", target.Domain, "draining", target.Draining, "incarnation", target.Incarnation)
	}
	return coldChanged || !equalTargets(previous, target)
}

// coldEndTolerance is by how much the end of a cold period that an entry names may differ from the known one without counting as a
// change: heartbeats count the time down, and are read every 500 ms.
const coldEndTolerance = time.Second

// coldEndChanged reports whether the entries of a target name different ends of its cold period.
func coldEndChanged(previous, next *scheduler.Target, now time.Time) bool {
	if previous.Incarnation != next.Incarnation {
		return true
	}
	left := func(target *scheduler.Target) time.Duration { return max(target.ColdUntil.Sub(now), 0) }
	return (left(next) - left(previous)).Abs() > coldEndTolerance
}

func equalTargets(a, b scheduler.Target) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Domain == b.Domain && a.Capacity == b.Capacity &&
		a.Draining == b.Draining && a.Incarnation == b.Incarnation && slices.Equal(a.Labels, b.Labels)
}

func (registry *targetRegistry) list() []scheduler.Target {
	return slices.Collect(maps.Values(registry.targets))
}

// instanceRecord is what an instance publishes in the store so that other instances can connect to it.
type instanceRecord struct {
	Domain      string `json:"domain"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
}

// peerRegistry holds the other instances listed in the store. Only the goroutine that follows the instance topic uses it.
type peerRegistry struct {
	self      linker.Hello
	peers     map[string]linker.Peer
	publisher *publisher
}

func newPeerRegistry(self linker.Hello, publisher *publisher) *peerRegistry {
	return &peerRegistry{self: self, peers: make(map[string]linker.Peer), publisher: publisher}
}

// update applies records of instances and returns all other instances.
func (registry *peerRegistry) update(update follower.Update) []linker.Peer {
	own := registry.publisher.stored()
	if update.Snapshot {
		clear(registry.peers)
		own = recordMissing
	}
	for _, record := range update.Records {
		var instance instanceRecord
		readable := len(record.Value) > 0 && json.Unmarshal(record.Value, &instance) == nil
		switch {
		case record.Key != registry.self.Name && readable:
			registry.peers[record.Key] = linker.Peer{Name: record.Key, Incarnation: instance.Incarnation, Address: instance.Address}
		case record.Key != registry.self.Name:
			delete(registry.peers, record.Key)
		case !readable:
			own = recordMissing
		case instance.Incarnation == registry.self.Incarnation:
			own = recordOwn
		default:
			own = recordOther
		}
	}
	registry.publisher.setStored(own)
	return slices.Collect(maps.Values(registry.peers))
}
