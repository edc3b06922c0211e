package bundler

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// noOffset is the offset before the first record; it means that there is no record.
	noOffset = -1
	// maxPendingBytes limits the text of the records that wait for a renewal. The budget for all control work of an
	// instance is 64 MB of memory.
	maxPendingBytes = 16 << 20
)

// Entry is one record of a bundle stream, not yet decoded.
type Entry struct {
	Offset int64
	Data   []byte
}

// Page holds consecutive entries of a bundle stream.
type Page struct {
	// Earliest is the offset of the oldest record that the log still holds.
	Earliest int64
	// Next is the offset that the next appended record will get.
	Next    int64
	Entries []Entry
}

// Offer is the bundle that an instance has in force, as it is sent to a peer.
type Offer struct {
	Record Record
	// Offset is the offset of the record that published the bundle.
	Offset int64
	// UnreplacedThrough is the last offset up to which no record replaced the bundle.
	UnreplacedThrough int64
}

// Snapshot is the bundle in force at one moment.
type Snapshot struct {
	bundle *Bundle
	record Record
	offset int64
}

// Bundle returns the bundle in force.
func (snapshot *Snapshot) Bundle() *Bundle { return snapshot.bundle }

// Offset returns the offset of the record that published the bundle.
func (snapshot *Snapshot) Offset() int64 { return snapshot.offset }

// Author returns the name of the operator who signed as author.
func (snapshot *Snapshot) Author() string { return snapshot.record.Author }

// Text returns the signed text of the bundle.
func (snapshot *Snapshot) Text() string { return snapshot.record.Text }

// Approver returns the name of the operator who signed as approver.
func (snapshot *Snapshot) Approver() string { return snapshot.record.Approver }

// Bundler determines the bundle in force from the records of the log and the offers of peers.
//
// It holds the current bundle, its offset, and the offset unreplacedThrough up to which no record replaced it. The
// entries in [start, next) have been read without a gap. They are contiguous with unreplacedThrough if start is at most
// unreplacedThrough+1; then unreplacedThrough is at least next-1, and whether the next entry replaces the bundle
// depends on that entry alone. Otherwise, records between unreplacedThrough and start have been trimmed, and one of
// them may have replaced the bundle: records that publish a bundle stay pending until a renewal or a peer closes the
// gap.
type Bundler struct {
	keys Keys
	// part is the failure domain whose part is read, or empty for the common part.
	part     string
	snapshot atomic.Pointer[Snapshot]

	mu                sync.Mutex
	current           *Snapshot
	unreplacedThrough int64
	start             int64
	next              int64
	pending           []pendingRecord
	// pendingBytes is the total text size of the records in pending.
	pendingBytes int
	// renewedAt is when the current bundle or its last renewal was read from the log.
	renewedAt time.Time
}

// pendingRecord is a record that cannot be applied until the gap before it is closed.
type pendingRecord struct {
	offset int64
	record Record
}

// New returns a bundler for the common part that accepts signatures by keys. It has no bundle in force yet.
func New(keys Keys) *Bundler { return NewPart(keys, "") }

// NewPart returns a bundler for the part of a split failure domain.
func NewPart(keys Keys, failureDomain string) *Bundler {
	return &Bundler{keys: keys, part: failureDomain, unreplacedThrough: noOffset}
}

// Stream returns the stream of the log whose pages the bundler applies.
func (bundler *Bundler) Stream() string { return PartStream(bundler.part) }

// verifyAndParse verifies record and returns its bundle. The signed text names its part, so that a record is valid on
// one stream only.
func (bundler *Bundler) verifyAndParse(record Record) (*Bundle, error) {
	bundle, err := record.VerifyAndParse(bundler.keys)
	if err == nil && bundle.part != bundler.part {
		return nil, eris.Errorf("the record belongs on stream %s", PartStream(bundle.part))
	}
	return bundle, err
}

// Snapshot returns the bundle in force, or nil if there is none yet. It never blocks.
func (bundler *Bundler) Snapshot() *Snapshot { return bundler.snapshot.Load() }

// NextOffset returns the offset at which the next page must start.
func (bundler *Bundler) NextOffset() int64 {
	bundler.mu.Lock()
	defer bundler.mu.Unlock()
	return bundler.next
}

// ApplyPage applies a page read from NextOffset and returns the decisions on its records.
func (bundler *Bundler) ApplyPage(page Page, now time.Time) []Event {
	bundler.mu.Lock()
	defer bundler.mu.Unlock()
	var events []Event
	bundler.skipTo(page.Earliest)
	for _, entry := range page.Entries {
		if entry.Offset < bundler.next {
			continue
		}
		bundler.skipTo(entry.Offset)
		bundler.next = entry.Offset + 1
		events = append(events, bundler.applyEntry(entry, now)...)
	}
	if bundler.contiguous() && bundler.next >= page.Next {
		bundler.activate()
	}
	if bundler.snapshot.Load() != nil {
		bundler.activate()
	}
	return events
}

// HandleOffer applies an offer of a peer. It returns an error if the offered bundle is older than the bundle in force
// or fails verification.
func (bundler *Bundler) HandleOffer(offer Offer, now time.Time) ([]Event, error) {
	bundler.mu.Lock()
	defer bundler.mu.Unlock()
	if offer.Offset < 0 || offer.UnreplacedThrough < offer.Offset {
		return nil, eris.New("the offer's offsets are inconsistent")
	}
	if bundler.current != nil && offer.Offset < bundler.current.offset {
		if _, err := bundler.verifyAndParse(offer.Record); err == nil {
			// The peer has an older bundle in force, so the newer one here may come into force before the end of the
			// log is read.
			bundler.activate()
		}
		return nil, eris.Errorf("the peer's bundle at offset %d is older than that at offset %d", offer.Offset, bundler.current.offset)
	}
	events, err := bundler.adopt(offer.Record, Renewal{Offset: offer.Offset, UnreplacedThrough: offer.UnreplacedThrough}, now)
	if err != nil {
		return nil, err
	}
	// The peer has this bundle in force, so it may come into force here before the end of the log is read.
	bundler.activate()
	return events, nil
}

// Offer returns the bundle in force as an offer to peers, or false if there is none.
func (bundler *Bundler) Offer() (Offer, bool) {
	bundler.mu.Lock()
	defer bundler.mu.Unlock()
	if bundler.snapshot.Load() == nil {
		return Offer{}, false
	}
	return Offer{Record: bundler.current.record, Offset: bundler.current.offset, UnreplacedThrough: bundler.unreplacedThrough}, true
}

// contiguous reports whether no record is missing between unreplacedThrough and the entries that have been read.
func (bundler *Bundler) contiguous() bool { return bundler.start <= bundler.unreplacedThrough+1 }

// skipTo continues reading at offset if the entries before it have been trimmed. Pending records are dropped, because
// records are missing after them.
func (bundler *Bundler) skipTo(offset int64) {
	if offset > bundler.next {
		bundler.start, bundler.next = offset, offset
		bundler.pending, bundler.pendingBytes = nil, 0
	}
}

// activate puts the current bundle in force.
func (bundler *Bundler) activate() {
	if bundler.current != nil && bundler.snapshot.Load() != bundler.current {
		bundler.snapshot.Store(bundler.current)
	}
}

// applyEntry applies the next entry of the log.
func (bundler *Bundler) applyEntry(entry Entry, now time.Time) []Event {
	if entry.Offset <= bundler.unreplacedThrough {
		return nil
	}
	record, err := DecodeRecord(entry.Data)
	contiguous := bundler.contiguous()
	if contiguous {
		bundler.unreplacedThrough = entry.Offset
	}
	switch {
	case err != nil:
		return []Event{ignoredEvent(entry.Offset, record, err)}
	case record.Renewal != nil && record.Renewal.UnreplacedThrough >= entry.Offset:
		return []Event{ignoredEvent(entry.Offset, record, eris.New("the renewal refers to records after itself"))}
	case record.Renewal != nil:
		return bundler.applyRenewal(entry.Offset, record, now)
	case contiguous:
		return []Event{bundler.replace(entry.Offset, record, now)}
	default:
		bundler.addPending(entry.Offset, record)
		return []Event{{Offset: entry.Offset, Decision: DecisionWaiting, Record: record}}
	}
}

// replace makes the record's bundle the current one if the record replaces the current bundle.
func (bundler *Bundler) replace(offset int64, record Record, now time.Time) Event {
	bundle, err := bundler.checkReplacement(record)
	if err != nil {
		return ignoredEvent(offset, record, err)
	}
	bundler.current = &Snapshot{bundle: bundle, record: record, offset: offset}
	bundler.renewedAt = now
	return Event{Offset: offset, Decision: DecisionInForce, Record: record}
}

// checkReplacement returns the record's bundle if it may replace the current one. The cheap checks come first.
func (bundler *Bundler) checkReplacement(record Record) (*Bundle, error) {
	offset, version := int64(noOffset), int64(0)
	var inForce *Bundle
	if bundler.current != nil {
		offset, version, inForce = bundler.current.offset, bundler.current.record.Version, bundler.current.bundle
	}
	if record.replacedOffset() != offset {
		return nil, eris.Errorf("it replaces %s, but %s is in force", describeOffset(record.replacedOffset()), describeOffset(offset))
	}
	if record.Version <= version {
		return nil, eris.Errorf("version %d is not above version %d, which is in force", record.Version, version)
	}
	bundle, err := bundler.verifyAndParse(record)
	if err != nil {
		return nil, err
	}
	return bundle, lintError(bundle, inForce)
}

// applyRenewal applies a record that renews the current bundle, or a later bundle whose own record has been trimmed.
func (bundler *Bundler) applyRenewal(offset int64, record Record, now time.Time) []Event {
	if current := bundler.current; current != nil && record.Renewal.Offset == current.offset && record.Text == current.record.Text {
		bundler.renewedAt = now
		return append([]Event{{Offset: offset, Decision: DecisionRenewal, Record: record}}, bundler.extendUnreplacedThrough(record.Renewal.UnreplacedThrough, now)...)
	}
	renewal := *record.Renewal
	record.Renewal = nil
	events, err := bundler.adopt(record, renewal, now)
	if err != nil {
		return []Event{ignoredEvent(offset, record, err)}
	}
	bundler.renewedAt = now
	return append([]Event{{Offset: offset, Decision: DecisionRenewal, Record: record}}, events...)
}

// adopt takes over a bundle that is in force on another instance. Lint is not applied: that instance checked the bundle
// against its predecessor, and a reader that rejected it could not accept any later bundle either.
func (bundler *Bundler) adopt(record Record, renewal Renewal, now time.Time) ([]Event, error) {
	current := bundler.current
	if current != nil && renewal.Offset == current.offset {
		if record.Text != current.record.Text {
			return nil, eris.Errorf("the text differs from the one in force from offset %d", current.offset)
		}
		return bundler.extendUnreplacedThrough(renewal.UnreplacedThrough, now), nil
	}
	if renewal.Offset <= bundler.unreplacedThrough {
		return nil, eris.Errorf("offset %d has been read and is not that of the bundle in force", renewal.Offset)
	}
	if current != nil && record.Version <= current.record.Version {
		return nil, eris.Errorf("version %d is not above version %d, which is in force", record.Version, current.record.Version)
	}
	if record.replacedOffset() >= renewal.Offset || record.Renewal != nil {
		return nil, eris.New("the record is inconsistent with its offset")
	}
	bundle, err := bundler.verifyAndParse(record)
	if err != nil {
		return nil, err
	}
	bundler.current = &Snapshot{bundle: bundle, record: record, offset: renewal.Offset}
	bundler.unreplacedThrough = renewal.UnreplacedThrough
	events := []Event{{Offset: renewal.Offset, Decision: DecisionInForce, Record: record}}
	return append(events, bundler.applyPending(now)...), nil
}

// extendUnreplacedThrough records that no record up to unreplacedThrough replaced the current bundle.
func (bundler *Bundler) extendUnreplacedThrough(unreplacedThrough int64, now time.Time) []Event {
	if unreplacedThrough <= bundler.unreplacedThrough {
		return nil
	}
	bundler.unreplacedThrough = unreplacedThrough
	return bundler.applyPending(now)
}

// applyPending applies the pending records if no record is missing between unreplacedThrough and them.
func (bundler *Bundler) applyPending(now time.Time) []Event {
	if !bundler.contiguous() {
		return nil
	}
	var events []Event
	for _, waiting := range bundler.pending {
		if waiting.offset > bundler.unreplacedThrough {
			events = append(events, bundler.replace(waiting.offset, waiting.record, now))
		}
	}
	bundler.pending, bundler.pendingBytes = nil, 0
	bundler.unreplacedThrough = max(bundler.unreplacedThrough, bundler.next-1)
	// Entries up to unreplacedThrough did not replace the bundle, so they need not be read.
	bundler.next = bundler.unreplacedThrough + 1
	return events
}

// addPending keeps the record until the gap before it is closed. Above maxPendingBytes, the oldest records are dropped
// as if they had been trimmed from the log.
func (bundler *Bundler) addPending(offset int64, record Record) {
	bundler.pending = append(bundler.pending, pendingRecord{offset: offset, record: record})
	bundler.pendingBytes += len(record.Text)
	for bundler.pendingBytes > maxPendingBytes {
		bundler.start = bundler.pending[0].offset + 1
		bundler.pendingBytes -= len(bundler.pending[0].record.Text)
		bundler.pending = bundler.pending[1:]
	}
}
