package executor

import (
	"time"

	"github.com/hyssoplift/hyssoplift/evacuator"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

const (
	// evacuationReserve is the part of the time until an evacuation must be in force that is left after a pause of this process. A
	// pause that leaves less may have hidden an evacuation for so long that a start would violate it.
	evacuationReserve = 2 * time.Second
	// maxEvacuationWait bounds how long starts are held for records of evacuations that this instance may lack: two heartbeats,
	// or a read of the store that is repeated after it has timed out during a pause.
	maxEvacuationWait = 300 * time.Millisecond
)

// evacuationSource names the store in the log, as opposed to the incarnation of another instance.
const evacuationSource = "store"

// ApplyEvacuations applies records of evacuations that the store has added.
func (executor *Executor) ApplyEvacuations(records []evacuator.Record) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.applyEvacuations(records, evacuationSource)
	executor.runActions()
}

// ApplyEvacuationSnapshot applies the records of a snapshot of the store that ends before the offset end. Requests that it lacks
// are withdrawn.
func (executor *Executor) ApplyEvacuationSnapshot(records []evacuator.Record, end int64) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.putEvacuationsInForce(executor.evacuator.ApplySnapshot(records, end), evacuationSource)
	executor.runActions()
}

// Withholds reports whether nothing may start on a target, since its failure domain is evacuated. It is the last check before a
// start request is sent, for a start that was decided before the evacuation became known.
func (executor *Executor) Withholds(target scheduler.Target) bool {
	if !executor.evacuating.Load() {
		return false
	}
	executor.mu.Lock()
	defer executor.mu.Unlock()
	// Since the start was decided, an entry may have named another failure domain.
	return executor.evacuator.IsEvacuated(target.Domain) || executor.scheduler.IsEvacuated(target.ID)
}

// applyEvacuations applies records from the store or from another instance; the caller holds the lock.
func (executor *Executor) applyEvacuations(records []evacuator.Record, source string) {
	var changed []evacuator.Record
	for _, record := range records {
		if executor.evacuator.Apply(record) {
			changed = append(changed, record)
		}
	}
	executor.putEvacuationsInForce(changed, source)
}

// putEvacuationsInForce passes on the records by which a domain is evacuated, or no longer evacuated, to the scheduler, and their
// version to the other instances. The caller holds the lock.
func (executor *Executor) putEvacuationsInForce(changed []evacuator.Record, source string) {
	now := executor.now()
	executor.evacuating.Store(len(executor.evacuator.Evacuated()) > 0)
	executor.peers.SetEvacuationVersion(executor.evacuator.Version())
	if executor.evacuator.Version() >= executor.evacuationAwaited {
		executor.scheduler.HoldStarts(time.Time{})
	}
	for _, record := range changed {
		executor.scheduler.SetDomainEvacuated(record.Domain, record.Evacuated, now)
		event := "evacuation withdrawn"
		if record.Evacuated {
			event = "evacuation in force"
		}
		executor.logger.Info(event, "domain", record.Domain, "version", record.Version, "source", source)
	}
}

// handleEvacuations compares the records of evacuations with those of another instance that has sent an update, and applies the
// records in it. The update was delayed by the given time. The caller holds the lock.
func (executor *Executor) handleEvacuations(from string, update *linker.StateUpdate, delay time.Duration, now time.Time) {
	if len(update.Evacuations) > 0 {
		records := make([]evacuator.Record, len(update.Evacuations))
		for i, record := range update.Evacuations {
			records[i] = evacuator.Record{Domain: record.Domain, Version: record.Version, Evacuated: record.Evacuated}
		}
		executor.applyEvacuations(records, from)
	}
	if len(update.Waiting) == 0 {
		return
	}
	known := executor.evacuator.Version()
	switch {
	case update.EvacuationVersion < known:
		executor.peers.SendEvacuations(from, executor.evacuator.Records())
	case update.EvacuationVersion > known && update.EvacuationVersion > executor.evacuationAwaited:
		// Once for each version: if the records do not arrive, work must go on.
		executor.evacuationAwaited = update.EvacuationVersion
		executor.scheduler.HoldStarts(now.Add(maxEvacuationWait))
		executor.peers.RequestEvacuations()
	}
	if update.EvacuationVersion <= known && known >= executor.evacuationAwaited && !now.Add(-delay).Before(executor.pauseNoticedAt) {
		// Nothing was missed during a pause.
		executor.scheduler.HoldStarts(time.Time{})
	}
}

// SetEvacuationBound sets how long after its acknowledgement an evacuation must be in force; 0 means that the deployment has no
// such bound.
func (executor *Executor) SetEvacuationBound(bound time.Duration) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.evacuationBound = bound
}

// holdStartsAfter holds starts after a pause during which an evacuation may have been requested, until another instance shows that
// none was, or the store has been read. The caller holds the lock.
func (executor *Executor) holdStartsAfter(pause time.Duration, now time.Time) {
	if executor.evacuationBound > 0 && pause >= executor.evacuationBound-evacuationReserve {
		executor.scheduler.HoldStarts(now.Add(maxEvacuationWait))
	}
}
