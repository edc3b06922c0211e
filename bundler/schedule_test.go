package bundler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	tick         = 250 * time.Millisecond
	ticks        = 2400 // ten minutes of virtual time, ten times the log's retention
	retention    = 60 * time.Second
	inForceBound = 10 * time.Second
)

// stored is one record of the simulated log; sound is false if it must never come into force.
type stored struct {
	data     []byte
	record   Record
	at       time.Time
	sound    bool
	inForce  bool
	replaces int64
}

// member is one simulated instance.
type member struct {
	domain, name string
	follower     follower
	shown        int64
	// fresh is since when an up-to-date source can be heard without a break.
	fresh time.Time
}

// world is a log, three failure domains of three instances, and operators that race.
type world struct {
	random   *rand.Rand
	make     func() follower
	now      time.Time
	log      []stored
	earliest int64
	head     int64
	headAt   time.Time
	members  []*member
	// logDown, logCut and linksCut hold when a fault ends.
	logDown    time.Time
	logCut     map[string]time.Time
	linksCut   map[string]time.Time
	violations []string
	operators  []*publisher
	// accepted counts the bundles that came into force, and beaten the publications whose operators were told of another.
	accepted, beaten int
}

func newWorld(seed uint64, make_ func() follower) *world {
	world := &world{
		random: rand.New(rand.NewPCG(seed, 1)), make: make_, now: start, head: noOffset,
		logCut: make(map[string]time.Time), linksCut: make(map[string]time.Time),
	}
	for _, domain := range []string{"ahd", "srt", "vdr"} {
		world.operators = append(world.operators, &publisher{bundler: New(testKeys)})
		for i := range 3 {
			world.members = append(world.members, &member{domain: domain, name: fmt.Sprint(i), follower: make_(), shown: noOffset})
		}
	}
	return world
}

func (world *world) chance(perMinute float64) bool {
	return world.random.Float64() < perMinute*tick.Minutes()
}

func (world *world) until(seconds int) time.Time {
	return world.now.Add(time.Duration(1+world.random.IntN(seconds)) * time.Second)
}

// append adds a record and keeps the reference: the chain of sound records, by the whole history of the log.
func (world *world) append(record Record, data []byte, sound bool) {
	offset := int64(len(world.log))
	entry := stored{data: data, record: record, at: world.now, sound: sound, replaces: record.replaces()}
	version := int64(0)
	if world.head >= 0 {
		version = world.log[world.head].record.Version
	}
	if sound && entry.replaces == world.head && record.Version > version {
		entry.inForce = true
		world.head, world.headAt = offset, world.now
		world.accepted++
	}
	world.log = append(world.log, entry)
}

func (world *world) hearsLog(member *member) bool {
	return !world.now.Before(world.logDown) && !world.now.Before(world.logCut[member.domain])
}

// publisher is an operator who reads the log, publishes with a delay in which others may win, and reads on.
type publisher struct {
	bundler     *Bundler
	publication *Publication
	due         time.Time
}

func (world *world) operate(operator *publisher) {
	page := Page{Earliest: world.earliest, Next: int64(len(world.log))}
	for offset := max(operator.bundler.NextOffset(), world.earliest); offset < page.Next; offset++ {
		page.Entries = append(page.Entries, Entry{Offset: offset, Data: world.log[offset].data})
	}
	events := operator.bundler.ApplyPage(page, world.now)
	switch {
	case operator.publication == nil && world.chance(4):
		version := int64(1 + world.random.IntN(2))
		if snapshot := operator.bundler.Snapshot(); snapshot != nil {
			version += snapshot.Bundle().Version()
		}
		publication, err := operator.bundler.Publish(publishRecord(version, noOffset, fmt.Sprint(len(world.log), world.random.Int())))
		if err != nil {
			world.violations = append(world.violations, "an operator cannot publish: "+err.Error())
			return
		}
		operator.publication, operator.due = publication, world.until(2)
	case operator.publication != nil:
		if outcome, ok := operator.publication.Observe(events); ok {
			world.judge(operator.publication, outcome)
			operator.publication = nil
		} else if !world.now.Before(operator.due) {
			world.append(operator.publication.record, operator.publication.Data(), true)
			if world.random.IntN(4) == 0 { // the answer is late, and the operator appends again
				world.append(operator.publication.record, operator.publication.Data(), true)
			}
		}
	}
}

// judge compares what an operator is told with what came into force.
func (world *world) judge(publication *Publication, outcome Outcome) {
	won := false
	for _, entry := range world.log {
		won = won || entry.inForce && entry.record.Text == publication.record.Text
	}
	if _, ok := outcome.(Conflict); ok {
		world.beaten++
	}
	if _, ok := outcome.(Published); ok != won {
		world.violations = append(world.violations, fmt.Sprintf("an operator is told %v, but it came into force: %t", outcome, won))
	}
}

// disturb appends a record that must not come into force.
func (world *world) disturb() {
	record := publishRecord(1, world.head, "junk")
	if world.head >= 0 {
		record = publishRecord(world.log[world.head].record.Version+1, world.head, "junk")
	}
	switch world.random.IntN(4) {
	case 0:
		data := encode(record)
		world.append(Record{}, data[:world.random.IntN(len(data))], false)
	case 1:
		record.Text += "# forged\n"
		world.append(record, encode(record), false)
	case 2: // a loser or an old record is appended again
		if len(world.log) > 0 {
			old := world.log[world.random.IntN(len(world.log))]
			world.append(old.record, old.data, old.sound)
		}
	default:
		record = signed(bundleText(record.Version, "broken", "[team none]\nmax-in-flight = 0"), world.head)
		world.append(record, encode(record), false)
	}
}

func (world *world) fail() {
	if world.chance(1) {
		world.logDown = world.until(25)
	}
	if world.chance(2) { // ahd stays connected, so that somebody renews
		world.logCut[[]string{"srt", "vdr"}[world.random.IntN(2)]] = world.until(90)
	}
	if world.chance(2) {
		world.linksCut[[]string{"ahd", "srt", "vdr"}[world.random.IntN(3)]] = world.until(40)
	}
	if world.chance(4) {
		member := world.members[world.random.IntN(len(world.members))]
		member.follower, member.shown, member.fresh = world.make(), noOffset, time.Time{}
	}
}

func (world *world) run() {
	for range ticks {
		world.now = world.now.Add(tick)
		world.fail()
		if !world.now.Before(world.logDown) {
			for _, operator := range world.operators {
				world.operate(operator)
			}
			if world.chance(6) {
				world.disturb()
			}
		}
		for world.earliest < int64(len(world.log)) && world.log[world.earliest].at.Before(world.now.Add(-retention)) {
			world.earliest++
		}
		for _, member := range world.members {
			world.step(member)
			world.check(member)
		}
	}
}

func (world *world) step(member *member) {
	if world.hearsLog(member) {
		page := Page{Earliest: world.earliest, Next: int64(len(world.log))}
		// Short pages show a reader in the middle of the log.
		for offset := max(member.follower.NextOffset(), world.earliest); offset < page.Next && len(page.Entries) < 5; offset++ {
			page.Entries = append(page.Entries, Entry{Offset: offset, Data: world.log[offset].data})
		}
		member.follower.ApplyPage(page, world.now)
		if real, ok := member.follower.(*Bundler); ok && real.RenewalDue(world.now, member.domain, member.name) {
			data, err := real.Renewal()
			if err != nil {
				panic(err)
			}
			record, _ := DecodeRecord(data)
			world.append(record, data, false)
		}
	}
	peer := world.members[world.random.IntN(len(world.members))]
	if peer != member && peer.domain == member.domain && !world.now.Before(world.linksCut[member.domain]) {
		if offer, ok := peer.follower.Offer(); ok {
			_, _ = member.follower.HandleOffer(offer, world.now)
		}
	}
}

func (world *world) violate(member *member, format string, args ...any) {
	world.violations = append(world.violations, fmt.Sprintf("%s %s-%s: ", world.now.Sub(start), member.domain, member.name)+fmt.Sprintf(format, args...))
}

func (world *world) check(member *member) {
	offer, ok := member.follower.Offer()
	if ok {
		switch {
		case offer.Offset < member.shown:
			world.violate(member, "reverted from offset %d to %d", member.shown, offer.Offset)
		case !world.log[offer.Offset].inForce || world.log[offer.Offset].record.Text != offer.Record.Text:
			world.violate(member, "offset %d was never in force", offer.Offset)
		}
		member.shown = offer.Offset
	}
	if !world.hearsCurrent(member) {
		member.fresh = time.Time{}
		return
	}
	if member.fresh.IsZero() {
		member.fresh = world.now
	}
	if late := world.now.Add(-inForceBound); member.fresh.Before(late) && world.headAt.Before(late) && (!ok || offer.Offset != world.head) {
		world.violate(member, "offset %d is not in force %s after it could be heard", world.head, inForceBound)
	}
}

// hearsCurrent reports whether the log, or a peer that is up to date, can be heard now.
func (world *world) hearsCurrent(member *member) bool {
	if world.head < 0 {
		return false
	}
	if world.hearsLog(member) {
		return true
	}
	for _, peer := range world.members {
		if peer != member && peer.domain == member.domain && !world.now.Before(world.linksCut[member.domain]) {
			if offer, ok := peer.follower.Offer(); ok && offer.Offset == world.head {
				return true
			}
		}
	}
	return false
}

// Guards the promise bundle-in-force under random faults, over several readers and operators with fixed seeds: nothing
// reverts, nothing but the chain comes into force, and it does within 10 s. The naive version must break it.
func TestRandomSchedules(t *testing.T) {
	seeds, naiveViolations, accepted, beaten := uint64(20), 0, 0, 0
	if testing.Short() {
		seeds = 3
	}
	for seed := range seeds {
		world := newWorld(seed, func() follower { return New(testKeys) })
		world.run()
		accepted, beaten = accepted+world.accepted, beaten+world.beaten
		if len(world.violations) > 0 {
			t.Errorf("seed %d: %d violations, first: %s", seed, len(world.violations), world.violations[0])
		}
		simple := newWorld(seed, func() follower { return &naive{} })
		simple.run()
		if len(simple.violations) == 0 {
			t.Errorf("seed %d: the naive version passes, so the schedule shows nothing", seed)
		}
		naiveViolations += len(simple.violations)
	}
	t.Logf("%d seeds, %d bundles accepted, %d publications beaten, violations of the naive version: %d", seeds, accepted, beaten, naiveViolations)
	if accepted < 20*int(seeds) || beaten < 5*int(seeds) {
		t.Errorf("%d bundles accepted and %d beaten are too few to show anything", accepted, beaten)
	}
}
