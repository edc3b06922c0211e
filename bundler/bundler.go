package bundler

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// noOffset stands for the offset before the first record.
	noOffset = -1
	// maxPendingBytes bounds the records that wait for a renewal; an instance has 64 MB in all.
	maxPendingBytes = 16 << 20
)

// Entry is one record of the log's stream of bundles.
type Entry struct {
	Offset int64
	Data   []byte
}

// Page is a run of consecutive entries.
type Page struct {
	// Earliest is the offset of the oldest record that the log still holds.
	Earliest int64
	// Next is the offset that the next append will get.
	Next    int64
	Entries []Entry
}

// Offer is a bundle that a peer has in force.
type Offer struct {
	Record  Record
	Offset  int64
	Through int64
}

// Snapshot is the bundle in force at one moment.
type Snapshot struct {
	bundle *Bundle
	record Record
	offset int64
}

// Bundle returns the parsed bundle.
func (snapshot *Snapshot) Bundle() *Bundle { return snapshot.bundle }

// Offset returns the offset of the record that published the bundle.
func (snapshot *Snapshot) Offset() int64 { return snapshot.offset }

// Author returns the name of the operator who signed as author.
func (snapshot *Snapshot) Author() string { return snapshot.record.Author }

// Text returns the signed text.
func (snapshot *Snapshot) Text() string { return snapshot.record.Text }

// Approver returns the name of the operator who signed as approver.
func (snapshot *Snapshot) Approver() string { return snapshot.record.Approver }

// Bundler folds the records of the log and the offers of peers into the bundle in force.
//
// It knows a bundle, published at an offset, and that no record up to through replaced it. Entries [start, next)
// have been read without a gap. The chain is connected if start is at most through+1; then through is at least
// next-1, and the next entry decides by itself. A chain that is not connected misses trimmed records, one of which
// may have replaced the bundle: publish records wait until a renewal or a peer connects it.
type Bundler struct {
	keys Keys
	// part is the failure domain whose part is followed, or empty for the common part.
	part     string
	snapshot atomic.Pointer[Snapshot]

	mu      sync.Mutex
	current *Snapshot
	through int64
	start   int64
	next    int64
	pending []pendingRecord
	// pendingBytes is the sum of the text sizes in pending.
	pendingBytes int
	renewedAt    time.Time
}

type pendingRecord struct {
	offset int64
	record Record
}

// New returns a bundler of the common part, without a bundle in force, that accepts signatures by keys.
func New(keys Keys) *Bundler { return NewPart(keys, "") }

// NewPart returns a bundler of the part of a split failure domain.
func NewPart(keys Keys, failureDomain string) *Bundler {
	return &Bundler{keys: keys, part: failureDomain, through: noOffset}
}

// Stream returns the stream of the log that the bundler must be given.
func (bundler *Bundler) Stream() string { return PartStream(bundler.part) }

// open returns the proved bundle of record. The signed text names its part, so that it counts on one stream only.
func (bundler *Bundler) open(record Record) (*Bundle, error) {
	bundle, err := record.Open(bundler.keys)
	if err == nil && bundle.part != bundler.part {
		return nil, eris.Errorf("the record belongs on stream %s", PartStream(bundle.part))
	}
	return bundle, err
}

// Snapshot returns the bundle in force, or nil if none is proved; it never blocks.
func (bundler *Bundler) Snapshot() *Snapshot { return bundler.snapshot.Load() }

// NextOffset returns the offset from which the log must be read next.
func (bundler *Bundler) NextOffset() int64 {
	bundler.mu.Lock()
	defer bundler.mu.Unlock()
	return bundler.next
}

// ApplyPage takes a page read from the offset Next and returns what became of its records.
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
		events = append(events, bundler.take(entry, now)...)
	}
	if bundler.connected() && bundler.next >= page.Next {
		bundler.show()
	}
	if bundler.snapshot.Load() != nil {
		bundler.show()
	}
	return events
}

// HandleOffer takes an offer of a peer and returns an error if it is older than the bundle in force or not proved.
func (bundler *Bundler) HandleOffer(offer Offer, now time.Time) ([]Event, error) {
	bundler.mu.Lock()
	defer bundler.mu.Unlock()
	if offer.Offset < 0 || offer.Through < offer.Offset {
		return nil, eris.New("the offer's offsets contradict each other")
	}
	if bundler.current != nil && offer.Offset < bundler.current.offset {
		if _, err := bundler.open(offer.Record); err == nil {
			// The peer serves with an older bundle, so this newer one may serve although the end of the log is not read.
			bundler.show()
		}
		return nil, eris.Errorf("the peer's bundle at offset %d is older than that at offset %d", offer.Offset, bundler.current.offset)
	}
	events, err := bundler.adopt(offer.Record, Renewal{Offset: offer.Offset, Through: offer.Through}, now)
	if err != nil {
		return nil, err
	}
	// A peer serves with this bundle, so an instance that has not reached the end of the log may do so too.
	bundler.show()
	return events, nil
}

// Offer returns what a peer needs to take over the bundle in force, and false if none is.
func (bundler *Bundler) Offer() (Offer, bool) {
	bundler.mu.Lock()
	defer bundler.mu.Unlock()
	if bundler.snapshot.Load() == nil {
		return Offer{}, false
	}
	return Offer{Record: bundler.current.record, Offset: bundler.current.offset, Through: bundler.through}, true
}

func (bundler *Bundler) connected() bool { return bundler.start <= bundler.through+1 }

// skipTo notes that the entries before offset can no longer be read.
func (bundler *Bundler) skipTo(offset int64) {
	if offset > bundler.next {
		bundler.start, bundler.next = offset, offset
		bundler.pending, bundler.pendingBytes = nil, 0
	}
}

// show makes the current bundle the one in force.
func (bundler *Bundler) show() {
	if bundler.current != nil && bundler.snapshot.Load() != bundler.current {
		bundler.snapshot.Store(bundler.current)
	}
}

func (bundler *Bundler) take(entry Entry, now time.Time) []Event {
	if entry.Offset <= bundler.through {
		return nil
	}
	record, err := DecodeRecord(entry.Data)
	connected := bundler.connected()
	if connected {
		bundler.through = entry.Offset
	}
	switch {
	case err != nil:
		return []Event{ignored(entry.Offset, record, err)}
	case record.Renewal != nil && record.Renewal.Through >= entry.Offset:
		return []Event{ignored(entry.Offset, record, eris.New("the renewal claims to know records after itself"))}
	case record.Renewal != nil:
		return bundler.renew(entry.Offset, record, now)
	case connected:
		return []Event{bundler.replace(entry.Offset, record, now)}
	default:
		bundler.wait(entry.Offset, record)
		return []Event{{Offset: entry.Offset, Decision: DecisionWaiting, Record: record}}
	}
}

// replace puts the record in force if it replaces the bundle in force.
func (bundler *Bundler) replace(offset int64, record Record, now time.Time) Event {
	bundle, err := bundler.check(record)
	if err != nil {
		return ignored(offset, record, err)
	}
	bundler.current = &Snapshot{bundle: bundle, record: record, offset: offset}
	bundler.renewedAt = now
	return Event{Offset: offset, Decision: DecisionInForce, Record: record}
}

// check returns the record's bundle if it may replace the current one; the cheap tests come first.
func (bundler *Bundler) check(record Record) (*Bundle, error) {
	offset, version := int64(noOffset), int64(0)
	var inForce *Bundle
	if bundler.current != nil {
		offset, version, inForce = bundler.current.offset, bundler.current.record.Version, bundler.current.bundle
	}
	if record.replaces() != offset {
		return nil, eris.Errorf("it replaces %s, but %s is in force", describeOffset(record.replaces()), describeOffset(offset))
	}
	if record.Version <= version {
		return nil, eris.Errorf("version %d is not above version %d, which is in force", record.Version, version)
	}
	bundle, err := bundler.open(record)
	if err != nil {
		return nil, err
	}
	return bundle, lintError(bundle, inForce)
}

func (bundler *Bundler) renew(offset int64, record Record, now time.Time) []Event {
	if current := bundler.current; current != nil && record.Renewal.Offset == current.offset && record.Text == current.record.Text {
		bundler.renewedAt = now
		return append([]Event{{Offset: offset, Decision: DecisionRenewal, Record: record}}, bundler.extend(record.Renewal.Through, now)...)
	}
	renewal := *record.Renewal
	record.Renewal = nil
	events, err := bundler.adopt(record, renewal, now)
	if err != nil {
		return []Event{ignored(offset, record, err)}
	}
	bundler.renewedAt = now
	return append([]Event{{Offset: offset, Decision: DecisionRenewal, Record: record}}, events...)
}

// adopt takes over a bundle that is in force elsewhere. Lint does not apply: whoever had it in force had its
// predecessor, and a reader that refused it would have no way back.
func (bundler *Bundler) adopt(record Record, renewal Renewal, now time.Time) ([]Event, error) {
	current := bundler.current
	if current != nil && renewal.Offset == current.offset {
		if record.Text != current.record.Text {
			return nil, eris.Errorf("the text differs from the one in force from offset %d", current.offset)
		}
		return bundler.extend(renewal.Through, now), nil
	}
	if renewal.Offset <= bundler.through {
		return nil, eris.Errorf("offset %d has been read and is not that of the bundle in force", renewal.Offset)
	}
	if current != nil && record.Version <= current.record.Version {
		return nil, eris.Errorf("version %d is not above version %d, which is in force", record.Version, current.record.Version)
	}
	if record.replaces() >= renewal.Offset || record.Renewal != nil {
		return nil, eris.New("the record contradicts its offset")
	}
	bundle, err := bundler.open(record)
	if err != nil {
		return nil, err
	}
	bundler.current = &Snapshot{bundle: bundle, record: record, offset: renewal.Offset}
	bundler.through = renewal.Through
	events := []Event{{Offset: renewal.Offset, Decision: DecisionInForce, Record: record}}
	return append(events, bundler.connect(now)...), nil
}

// extend notes that nothing up to through replaced the current bundle.
func (bundler *Bundler) extend(through int64, now time.Time) []Event {
	if through <= bundler.through {
		return nil
	}
	bundler.through = through
	return bundler.connect(now)
}

// connect decides the waiting records once nothing is missing between through and them.
func (bundler *Bundler) connect(now time.Time) []Event {
	if !bundler.connected() {
		return nil
	}
	var events []Event
	for _, waiting := range bundler.pending {
		if waiting.offset > bundler.through {
			events = append(events, bundler.replace(waiting.offset, waiting.record, now))
		}
	}
	bundler.pending, bundler.pendingBytes = nil, 0
	bundler.through = max(bundler.through, bundler.next-1)
	// Entries up to through are known not to matter, so they need not be read.
	bundler.next = bundler.through + 1
	return events
}

// wait keeps the record until the chain is connected; of too many, the oldest are dropped as if the log had been trimmed.
func (bundler *Bundler) wait(offset int64, record Record) {
	bundler.pending = append(bundler.pending, pendingRecord{offset: offset, record: record})
	bundler.pendingBytes += len(record.Text)
	for bundler.pendingBytes > maxPendingBytes {
		bundler.start = bundler.pending[0].offset + 1
		bundler.pendingBytes -= len(bundler.pending[0].record.Text)
		bundler.pending = bundler.pending[1:]
	}
}
