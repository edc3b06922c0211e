package evacuator

import (
	"cmp"
	"maps"
	"slices"
)

// MaxDomains bounds the failure domains whose records are kept, and so the size of the message that carries them. Beyond it, the
// oldest withdrawn record is dropped first; while all records are of evacuated domains, no further one is kept.
const MaxDomains = 1024

// Record is the operator's latest word on a failure domain.
type Record struct {
	Domain string
	// Version is the offset of the record in its topic plus one. A record that follows from a snapshot has the end of the snapshot.
	Version int64
	// Evacuated means that nothing may start in the domain; otherwise the request is withdrawn.
	Evacuated bool
}

// Evacuator holds the newest record of each failure domain.
type Evacuator struct {
	records map[string]Record
	// version is the highest version of all records, including those that were dropped.
	version int64
	// snapshotEnd is the end of the last snapshot; 0 if there was none.
	snapshotEnd int64
}

// New returns an evacuator without records.
func New() *Evacuator { return &Evacuator{records: make(map[string]Record)} }

// IsEvacuated reports whether nothing may start in a failure domain.
func (evacuator *Evacuator) IsEvacuated(domain string) bool {
	return evacuator.records[domain].Evacuated
}

// Evacuated returns the evacuated failure domains by name.
func (evacuator *Evacuator) Evacuated() []string {
	var domains []string
	for _, record := range evacuator.Records() {
		if record.Evacuated {
			domains = append(domains, record.Domain)
		}
	}
	return domains
}

// Records returns the newest record of each failure domain by name, including those of withdrawn requests: without these, an
// instance that missed a withdrawal would not learn of it.
func (evacuator *Evacuator) Records() []Record {
	return slices.SortedFunc(maps.Values(evacuator.records), func(a, b Record) int { return cmp.Compare(a.Domain, b.Domain) })
}

// Version returns the highest version that is known; 0 if none is.
func (evacuator *Evacuator) Version() int64 { return evacuator.version }

// Apply applies a record unless a newer one of its failure domain is known, and reports whether the domain is evacuated by it and
// was not before, or the other way round.
func (evacuator *Evacuator) Apply(record Record) bool {
	known, ok := evacuator.records[record.Domain]
	if ok && record.Version <= known.Version || record.Version <= 0 {
		return false
	}
	if record.Evacuated && !known.Evacuated && record.Version <= evacuator.snapshotEnd {
		// The snapshot would have held the request if it had not been withdrawn. The record of the withdrawal is kept for the
		// instance that has sent this one.
		record.Version, record.Evacuated = evacuator.snapshotEnd, false
	}
	evacuator.version = max(evacuator.version, record.Version)
	if !ok && len(evacuator.records) >= MaxDomains && !evacuator.makeRoom(record) {
		return false
	}
	evacuator.records[record.Domain] = record
	return record.Evacuated != known.Evacuated
}

// makeRoom drops the oldest withdrawn record, and reports whether it has: an added record of a withdrawal that is older still is
// not worth it.
func (evacuator *Evacuator) makeRoom(added Record) bool {
	oldest, found := Record{}, false
	for _, record := range evacuator.records {
		if !record.Evacuated && (!found || record.Version < oldest.Version) {
			oldest, found = record, true
		}
	}
	if !found || !added.Evacuated && added.Version < oldest.Version {
		return false
	}
	delete(evacuator.records, oldest.Domain)
	return true
}

// ApplySnapshot applies the records of a snapshot of the topic, which holds all requests before the offset end that are not
// withdrawn. It returns the records by which a failure domain is evacuated that was not before, or the other way round.
func (evacuator *Evacuator) ApplySnapshot(records []Record, end int64) []Record {
	var changed []Record
	listed := make(map[string]bool, len(records))
	evacuator.snapshotEnd = 0
	for _, record := range records {
		listed[record.Domain] = true
		if evacuator.Apply(record) {
			changed = append(changed, record)
		}
	}
	evacuator.snapshotEnd = end
	for _, known := range evacuator.Records() {
		if known.Evacuated && !listed[known.Domain] && known.Version <= end {
			withdrawn := Record{Domain: known.Domain, Version: end}
			evacuator.records[known.Domain] = withdrawn
			evacuator.version = max(evacuator.version, end)
			changed = append(changed, withdrawn)
		}
	}
	return changed
}
