package bundler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	tickInterval       = 250 * time.Millisecond
	tickCount          = 2400 // ten minutes of simulated time, ten times the log's retention
	simulatedRetention = 60 * time.Second
	inForceBound       = 10 * time.Second
)

// logRecord is one record of the simulated log. If valid is false, it must never come into force; inForce says whether
// it did according to the reference.
type logRecord struct {
	data           []byte
	record         Record
	at             time.Time
	valid          bool
	inForce        bool
	replacedOffset int64
}

// instance is one instance in the simulation. lastOffset is the offset of the bundle that it last had in force.
type instance struct {
	domain, name string
	consumer     consumer
	lastOffset   int64
	// reachableSince is the time since which the current bundle has been reachable without interruption, or zero.
	reachableSince time.Time
}

// simulation runs a log, three instances in each of three failure domains, and three operators that publish
// concurrently. inForceOffset and inForceSince are the reference for the bundle in force.
type simulation struct {
	random *rand.Rand
	// newConsumer returns a new consumer for an instance.
	newConsumer   func() consumer
	now           time.Time
	log           []logRecord
	earliest      int64
	inForceOffset int64
	inForceSince  time.Time
	instances     []*instance
	// logDownUntil is when the log is available again. logCutUntil and linksCutUntil hold, by failure domain, when its
	// connections to the log and between its instances are restored.
	logDownUntil  time.Time
	logCutUntil   map[string]time.Time
	linksCutUntil map[string]time.Time
	violations    []string
	operators     []*simulatedOperator
	// accepted counts the bundles that came into force, and conflicts the publications whose outcome was Conflict.
	accepted, conflicts int
}

func newSimulation(seed uint64, newConsumer func() consumer) *simulation {
	simulation := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), newConsumer: newConsumer, now: start, inForceOffset: noOffset,
		logCutUntil: make(map[string]time.Time), linksCutUntil: make(map[string]time.Time),
	}
	for _, domain := range []string{"ahd", "srt", "vdr"} {
		simulation.operators = append(simulation.operators, &simulatedOperator{bundler: New(testKeys)})
		for i := range 3 {
			simulation.instances = append(simulation.instances, &instance{domain: domain, name: fmt.Sprint(i), consumer: newConsumer(), lastOffset: noOffset})
		}
	}
	return simulation
}

func (simulation *simulation) chance(perMinute float64) bool {
	return simulation.random.Float64() < perMinute*tickInterval.Minutes()
}

func (simulation *simulation) randomTimeWithin(seconds int) time.Time {
	return simulation.now.Add(time.Duration(1+simulation.random.IntN(seconds)) * time.Second)
}

// appendRecord adds a record to the log and updates the reference, which is derived from the whole history of the log:
// a valid record comes into force if it replaces the bundle in force and has a higher version.
func (simulation *simulation) appendRecord(record Record, data []byte, valid bool) {
	offset := int64(len(simulation.log))
	entry := logRecord{data: data, record: record, at: simulation.now, valid: valid, replacedOffset: record.replacedOffset()}
	version := int64(0)
	if simulation.inForceOffset >= 0 {
		version = simulation.log[simulation.inForceOffset].record.Version
	}
	if valid && entry.replacedOffset == simulation.inForceOffset && record.Version > version {
		entry.inForce = true
		simulation.inForceOffset, simulation.inForceSince = offset, simulation.now
		simulation.accepted++
	}
	simulation.log = append(simulation.log, entry)
}

func (simulation *simulation) canReadLog(instance *instance) bool {
	return !simulation.now.Before(simulation.logDownUntil) && !simulation.now.Before(simulation.logCutUntil[instance.domain])
}

// simulatedOperator is an operator who reads the log, prepares a publication, appends it after a delay in which another
// publication may come first, and reads on until the outcome is known.
type simulatedOperator struct {
	bundler     *Bundler
	publication *Publication
	due         time.Time
}

func (simulation *simulation) stepOperator(operator *simulatedOperator) {
	page := Page{Earliest: simulation.earliest, Next: int64(len(simulation.log))}
	for offset := max(operator.bundler.NextOffset(), simulation.earliest); offset < page.Next; offset++ {
		page.Entries = append(page.Entries, Entry{Offset: offset, Data: simulation.log[offset].data})
	}
	events := operator.bundler.ApplyPage(page, simulation.now)
	switch {
	case operator.publication == nil && simulation.chance(4):
		version := int64(1 + simulation.random.IntN(2))
		if snapshot := operator.bundler.Snapshot(); snapshot != nil {
			version += snapshot.Bundle().Version()
		}
		publication, err := operator.bundler.Publish(publishRecord(version, noOffset, fmt.Sprint(len(simulation.log), simulation.random.Int())))
		if err != nil {
			simulation.violations = append(simulation.violations, "an operator cannot publish: "+err.Error())
			return
		}
		operator.publication, operator.due = publication, simulation.randomTimeWithin(2)
	case operator.publication != nil:
		if outcome, ok := operator.publication.Observe(events); ok {
			simulation.checkOutcome(operator.publication, outcome)
			operator.publication = nil
		} else if !simulation.now.Before(operator.due) {
			simulation.appendRecord(operator.publication.record, operator.publication.Data(), true)
			if simulation.random.IntN(4) == 0 { // the response is late, and the operator appends again
				simulation.appendRecord(operator.publication.record, operator.publication.Data(), true)
			}
		}
	}
}

// checkOutcome compares the outcome that an operator gets with the reference.
func (simulation *simulation) checkOutcome(publication *Publication, outcome Outcome) {
	published := false
	for _, entry := range simulation.log {
		published = published || entry.inForce && entry.record.Text == publication.record.Text
	}
	if _, ok := outcome.(Conflict); ok {
		simulation.conflicts++
	}
	if _, ok := outcome.(Published); ok != published {
		simulation.violations = append(simulation.violations, fmt.Sprintf("an operator got the outcome %v, but whether the bundle came into force is %t", outcome, published))
	}
}

// appendInvalid appends a record that must not come into force: truncated, forged, repeated, or rejected by lint.
func (simulation *simulation) appendInvalid() {
	record := publishRecord(1, simulation.inForceOffset, "junk")
	if simulation.inForceOffset >= 0 {
		record = publishRecord(simulation.log[simulation.inForceOffset].record.Version+1, simulation.inForceOffset, "junk")
	}
	switch simulation.random.IntN(4) {
	case 0:
		data := encode(record)
		simulation.appendRecord(Record{}, data[:simulation.random.IntN(len(data))], false)
	case 1:
		record.Text += "# forged\n"
		simulation.appendRecord(record, encode(record), false)
	case 2: // an old record is appended again, or one that lost a race
		if len(simulation.log) > 0 {
			old := simulation.log[simulation.random.IntN(len(simulation.log))]
			simulation.appendRecord(old.record, old.data, old.valid)
		}
	default:
		record = signed(bundleText(record.Version, "broken", "[team none]\nmax-in-flight = 0"), simulation.inForceOffset)
		simulation.appendRecord(record, encode(record), false)
	}
}

func (simulation *simulation) injectFaults() {
	if simulation.chance(1) {
		simulation.logDownUntil = simulation.randomTimeWithin(25)
	}
	if simulation.chance(2) { // ahd stays connected to the log, so that an instance can renew the bundle
		simulation.logCutUntil[[]string{"srt", "vdr"}[simulation.random.IntN(2)]] = simulation.randomTimeWithin(90)
	}
	if simulation.chance(2) {
		simulation.linksCutUntil[[]string{"ahd", "srt", "vdr"}[simulation.random.IntN(3)]] = simulation.randomTimeWithin(40)
	}
	if simulation.chance(4) {
		instance := simulation.instances[simulation.random.IntN(len(simulation.instances))]
		instance.consumer, instance.lastOffset, instance.reachableSince = simulation.newConsumer(), noOffset, time.Time{}
	}
}

func (simulation *simulation) run() {
	for range tickCount {
		simulation.now = simulation.now.Add(tickInterval)
		simulation.injectFaults()
		if !simulation.now.Before(simulation.logDownUntil) {
			for _, operator := range simulation.operators {
				simulation.stepOperator(operator)
			}
			if simulation.chance(6) {
				simulation.appendInvalid()
			}
		}
		for simulation.earliest < int64(len(simulation.log)) && simulation.log[simulation.earliest].at.Before(simulation.now.Add(-simulatedRetention)) {
			simulation.earliest++
		}
		for _, instance := range simulation.instances {
			simulation.stepInstance(instance)
			simulation.checkInstance(instance)
		}
	}
}

func (simulation *simulation) stepInstance(instance *instance) {
	if simulation.canReadLog(instance) {
		page := Page{Earliest: simulation.earliest, Next: int64(len(simulation.log))}
		// Short pages produce readers that have not reached the end of the log.
		for offset := max(instance.consumer.NextOffset(), simulation.earliest); offset < page.Next && len(page.Entries) < 5; offset++ {
			page.Entries = append(page.Entries, Entry{Offset: offset, Data: simulation.log[offset].data})
		}
		instance.consumer.ApplyPage(page, simulation.now)
		if bundler, ok := instance.consumer.(*Bundler); ok && bundler.RenewalDue(simulation.now, instance.domain, instance.name) {
			data, err := bundler.Renewal()
			if err != nil {
				panic(err)
			}
			record, _ := DecodeRecord(data)
			simulation.appendRecord(record, data, false)
		}
	}
	peer := simulation.instances[simulation.random.IntN(len(simulation.instances))]
	if peer != instance && peer.domain == instance.domain && !simulation.now.Before(simulation.linksCutUntil[instance.domain]) {
		if offer, ok := peer.consumer.Offer(); ok {
			_, _ = instance.consumer.HandleOffer(offer, simulation.now)
		}
	}
}

func (simulation *simulation) addViolation(instance *instance, format string, args ...any) {
	simulation.violations = append(simulation.violations, fmt.Sprintf("%s %s-%s: ", simulation.now.Sub(start), instance.domain, instance.name)+fmt.Sprintf(format, args...))
}

func (simulation *simulation) checkInstance(instance *instance) {
	offer, ok := instance.consumer.Offer()
	if ok {
		switch {
		case offer.Offset < instance.lastOffset:
			simulation.addViolation(instance, "reverted from offset %d to %d", instance.lastOffset, offer.Offset)
		case !simulation.log[offer.Offset].inForce || simulation.log[offer.Offset].record.Text != offer.Record.Text:
			simulation.addViolation(instance, "offset %d was never in force", offer.Offset)
		}
		instance.lastOffset = offer.Offset
	}
	if !simulation.canReachCurrent(instance) {
		instance.reachableSince = time.Time{}
		return
	}
	if instance.reachableSince.IsZero() {
		instance.reachableSince = simulation.now
	}
	if latest := simulation.now.Add(-inForceBound); instance.reachableSince.Before(latest) && simulation.inForceSince.Before(latest) && (!ok || offer.Offset != simulation.inForceOffset) {
		simulation.addViolation(instance, "offset %d is not in force %s after it became reachable", simulation.inForceOffset, inForceBound)
	}
}

// canReachCurrent reports whether the instance can read the log or reach a peer that has the current bundle in force.
func (simulation *simulation) canReachCurrent(instance *instance) bool {
	if simulation.inForceOffset < 0 {
		return false
	}
	if simulation.canReadLog(instance) {
		return true
	}
	for _, peer := range simulation.instances {
		if peer != instance && peer.domain == instance.domain && !simulation.now.Before(simulation.linksCutUntil[instance.domain]) {
			if offer, ok := peer.consumer.Offer(); ok && offer.Offset == simulation.inForceOffset {
				return true
			}
		}
	}
	return false
}

// Guards against violations of the guarantee bundle-in-force under random faults, with several instances and operators
// and fixed seeds: no instance reverts to an older bundle, only the bundles of the reference come into force, and they
// do so within 10 s. The naive version must violate this.
func TestRandomSchedules(t *testing.T) {
	seeds, naiveViolations, accepted, conflicts := uint64(20), 0, 0, 0
	if testing.Short() {
		seeds = 3
	}
	for seed := range seeds {
		simulation := newSimulation(seed, func() consumer { return New(testKeys) })
		simulation.run()
		accepted, conflicts = accepted+simulation.accepted, conflicts+simulation.conflicts
		if len(simulation.violations) > 0 {
			t.Errorf("seed %d: %d violations, first: %s", seed, len(simulation.violations), simulation.violations[0])
		}
		naiveSimulation := newSimulation(seed, func() consumer { return &naiveConsumer{} })
		naiveSimulation.run()
		if len(naiveSimulation.violations) == 0 {
			t.Errorf("seed %d: the naive version passes, so the schedule tests nothing", seed)
		}
		naiveViolations += len(naiveSimulation.violations)
	}
	t.Logf("%d seeds, %d bundles accepted, %d publications with a conflict, %d violations by the naive version", seeds, accepted, conflicts, naiveViolations)
	if accepted < 20*int(seeds) || conflicts < 5*int(seeds) {
		t.Errorf("too few bundles accepted or conflicts to test anything: %d and %d", accepted, conflicts)
	}
}
