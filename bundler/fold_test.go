package bundler

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	v1      = publishRecord(1, noOffset, "v1")
	v2      = publishRecord(2, 0, "v2")
	v2Loser = publishRecord(2, 0, "v2-loser")
	v3      = publishRecord(3, 1, "v3")
)

// step is one input to a consumer, and the note of the bundle that must be in force after it.
type step struct {
	page  Page
	offer *Offer
	want  string
}

func offerStep(record Record, offset, unreplacedThrough int64, want string) step {
	return step{offer: &Offer{Record: record, Offset: offset, UnreplacedThrough: unreplacedThrough}, want: want}
}

func pageStep(want string, earliest int64, records ...Record) step {
	return step{page: page(earliest, records...), want: want}
}

// partialPageStep returns a step with a page that does not reach the end of the log.
func partialPageStep(want string, earliest, next int64, records ...Record) step {
	step := pageStep(want, earliest, records...)
	step.page.Next = next
	return step
}

func rawRecordStep(want string, offset int64, data string) step {
	return step{page: Page{Earliest: 0, Next: offset + 1, Entries: []Entry{{Offset: offset, Data: []byte(data)}}}, want: want}
}

func tamperedRecord(change func(*Record)) Record {
	record := v2
	change(&record)
	return record
}

// recordStep returns a step with one record that must leave v1 in force.
func recordStep(offset int64, record Record) step {
	return rawRecordStep("v1", offset, string(encode(record)))
}

var inForceCases = []struct {
	name  string
	steps []step
}{
	{"trimmed log with a loser after the renewal", []step{pageStep("v2", 2, renewal(v2, 1, 1), v2Loser)}},
	{"loser outlives the winner", []step{pageStep("", 2, v2Loser), pageStep("v2", 2, v2Loser, renewal(v2, 1, 2))}},
	{"loser outlives the winner, with a late renewal of the bundle before", []step{
		pageStep("", 2, v2Loser, renewal(v1, 0, 0)),
		pageStep("v2", 2, v2Loser, renewal(v1, 0, 0), renewal(v2, 1, 3)),
	}},
	{"publication between a renewal's reading and its appending", []step{pageStep("v3", 2, renewal(v2, 1, 1), v3, renewal(v2, 1, 2))}},
	{"start in the middle of the log", []step{partialPageStep("", 0, 2, v1), pageStep("v2", 0, v1, v2)}},
	{"appended twice after a lost answer", []step{pageStep("v2", 0, v1, v2), pageStep("v3", 0, v1, v2, v3, v2)}},
	{"log down for an hour and trimmed past the reader", []step{
		pageStep("v1", 0, v1),
		pageStep("v1", 2, v2Loser),
		pageStep("v3", 2, v2Loser, v3, renewal(v3, 3, 3)),
	}},
	{"trimmed past the reader, with the same bundle still in force", []step{
		pageStep("v2", 0, v1, v2),
		pageStep("v2", 3, v2Loser),
		pageStep("v3", 3, v2Loser, renewal(v2, 1, 2), v3),
	}},
	{"log down for an hour, no publication meanwhile", []step{pageStep("v1", 0, v1), pageStep("v1", 1), pageStep("v2", 1, v2, v2Loser)}},
	{"cut off from the log but not from peers", []step{
		pageStep("v1", 0, v1), offerStep(v2, 1, 1, "v2"), offerStep(v1, 0, 0, "v2"), offerStep(v3, 2, 5, "v3"),
		pageStep("v3", 0, v1, v2, v3, v2Loser),
	}},
	{"cut off from both, then a peer that is ahead of the trimmed log", []step{
		pageStep("v1", 0, v1),
		offerStep(v3, 2, 6, "v3"),
		pageStep("v3", 6, publishRecord(3, 1, "v3-loser")),
		pageStep("v5", 6, publishRecord(3, 1, "v3-loser"), publishRecord(5, 2, "v5")),
	}},
	{"started while the log is down, from a peer", []step{
		offerStep(tamperedRecord(func(record *Record) { record.Text = bundleText(2, "forged") }), 1, 1, ""),
		offerStep(v2, 1, 1, "v2"),
	}},
	{"started while the log is down, in the middle of reading", []step{
		partialPageStep("", 0, 9, v1, v2), offerStep(v1, 0, 0, "v2"),
	}},
	{"stale peer", []step{pageStep("v2", 0, v1, v2), offerStep(v1, 0, 0, "v2")}},
	{"peer with a higher offset and a lower version", []step{pageStep("v2", 0, v1, v2), offerStep(publishRecord(1, 1, "old"), 7, 7, "v2")}},
	{"peer with the same offset and another text", []step{pageStep("v2", 0, v1, v2), offerStep(v2Loser, 1, 9, "v2")}},
	{"two operators race", []step{pageStep("v2", 0, v1, v2, v2Loser)}},
	{"half-written", []step{pageStep("v1", 0, v1), rawRecordStep("v1", 1, string(encode(v2))[:200]), recordStep(2, v2Loser).withWant("v2-loser"), recordStep(3, v2).withWant("v2-loser")}},
	{"bytes after the record", []step{pageStep("v1", 0, v1), rawRecordStep("v1", 1, string(encode(v2))+"{}"), recordStep(2, v2Loser).withWant("v2-loser"), recordStep(3, v2).withWant("v2-loser")}},
	{"text changed", []step{pageStep("v1", 0, v1), recordStep(1, tamperedRecord(func(record *Record) { record.Text += "# more\n" }))}},
	{"version changed", []step{pageStep("v1", 0, v1), recordStep(1, tamperedRecord(func(record *Record) { record.Version = 9 }))}},
	{"signatures swapped", []step{pageStep("v1", 0, v1), recordStep(1, tamperedRecord(func(record *Record) {
		record.Signatures.Author, record.Signatures.Approver = record.Signatures.Approver, record.Signatures.Author
	}))}},
	{"author approves", []step{pageStep("v1", 0, v1), recordStep(1, tamperedRecord(func(record *Record) {
		record.Approver, record.Signatures.Approver = record.Author, Sign(linh.key, RoleApprover, record.Text)
	}))}},
	{"unknown approver", []step{pageStep("v1", 0, v1), recordStep(1, tamperedRecord(func(record *Record) {
		record.Approver, record.Signatures.Approver = "mallory", Sign(mallory.key, RoleApprover, record.Text)
	}))}},
	{"renewal of a bundle that was never in force", []step{pageStep("v2", 0, v1, v2, v2Loser, renewal(publishRecord(7, 0, "never"), 2, 2))}},
	{"renewal from the future", []step{pageStep("v2", 0, v1, v2, renewal(publishRecord(7, 0, "future"), 40, 50))}},
	{"older version replayed", []step{pageStep("v2", 0, v1, v2), recordStep(2, publishRecord(1, 1, "old")).withWant("v2")}},
	{"would break: a kind without targets", []step{pageStep("v1", 0, v1), recordStep(1, signed(bundleText(2, "broken", "[kind x]\nservice = none\nrepeatable = true"), 0))}},
	{"would break: failure domain removed that may hold keys", []step{
		pageStep("two", 0, signed(bundleText(1, "two", "[failure-domain srt]"), noOffset)),
		recordStep(1, v2).withWant("two"),
		recordStep(2, signed(bundleText(3, "leaving", "[failure-domain srt]\nleaving = true"), 0)).withWant("leaving"),
		recordStep(3, publishRecord(4, 2, "one")).withWant("one"),
		recordStep(4, signed(bundleText(3, "leaving", "[failure-domain srt]\nleaving = true"), 3)).withWant("one"),
	}},
}

func (step step) withWant(note string) step {
	step.want = note
	return step
}

// runSteps runs steps until one fails. It returns the index of that step and the bundle in force, or -1.
func runSteps(consumer consumer, steps []step) (int, string) {
	for i, step := range steps {
		if step.offer != nil {
			_, _ = consumer.HandleOffer(*step.offer, start)
		} else {
			unread := step.page
			unread.Entries = nil
			for _, entry := range step.page.Entries {
				if entry.Offset >= consumer.NextOffset() {
					unread.Entries = append(unread.Entries, entry)
				}
			}
			consumer.ApplyPage(unread, start)
		}
		if got := inForceNote(consumer); got != step.want {
			return i, got
		}
	}
	return -1, ""
}

// Guards against a bundle that is in force although neither the records of the log nor a renewal or a peer confirm it.
// The naive version must fail every case.
func TestInForce(t *testing.T) {
	for _, test := range inForceCases {
		t.Run(test.name, func(t *testing.T) {
			if i, got := runSteps(New(testKeys), test.steps); i >= 0 {
				t.Errorf("step %d: got %q, want %q", i, got, test.steps[i].want)
			}
			if i, _ := runSteps(&naiveConsumer{}, test.steps); i < 0 {
				t.Error("the naive version passes, so the case tests nothing")
			}
		})
	}
}

// Guards against a publication that reports no outcome or the wrong one when two operators publish at the same time.
func TestPublicationRace(t *testing.T) {
	is := is.New(t)
	bundler := New(testKeys)
	bundler.ApplyPage(page(0, v1), start)
	winner, err := bundler.Publish(v2)
	is.NoErr(err)
	loser, err := bundler.Publish(v2Loser)
	is.NoErr(err)
	_, ok := winner.Observe(nil)
	is.True(!ok) // no events yet
	events := bundler.ApplyPage(Page{Next: 3, Entries: []Entry{{Offset: 1, Data: winner.Data()}, {Offset: 2, Data: loser.Data()}}}, start)
	published, _ := winner.Observe(events)
	is.Equal(published, Published{offset: 1})
	conflict, _ := loser.Observe(events)
	is.Equal(conflict, Conflict{offset: 1, version: 2, author: "linh"})
	_, err = bundler.Publish(v2Loser)
	is.True(err != nil && strings.Contains(err.Error(), "2 is not above 2, the version in force")) // the losing version must be rebased
}

// Guards against a request that uses two bundles because a new bundle in force changes the snapshot that it holds.
func TestSnapshotIsUnchangedByNewBundle(t *testing.T) {
	is := is.New(t)
	bundler := New(testKeys)
	bundler.ApplyPage(page(0, v1), start)
	held := bundler.Snapshot()
	bundler.ApplyPage(page(0, v1, signed(strings.ReplaceAll(bundleText(2, "v2"), "loop-check", "circuit-plan"), 0)), start)
	_, before := held.Bundle().Kind("loop-check")
	_, after := bundler.Snapshot().Bundle().Kind("loop-check")
	is.True(before && !after)
	is.Equal(held.Bundle().Version(), int64(1))
	is.Equal(bundler.Snapshot().Bundle().Version(), int64(2))
}

// Guards against time windows in which no instance renews, all instances renew, or the bundle is not renewed because
// the first instance failed.
func TestOneInstanceRenewsFirst(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e", "f"}
	windowLength := 60 * time.Second / renewalWindowsPerRetention
	first := make(map[string]int)
	for i := range 50 {
		windowStart := start.Truncate(windowLength).Add(time.Duration(i+1) * windowLength)
		bundler := New(testKeys)
		bundler.ApplyPage(page(0, v1), windowStart.Add(-time.Second))
		due := 0
		for now := windowStart; now.Before(windowStart.Add(windowLength)); now = now.Add(10 * time.Millisecond) {
			count := 0
			for _, name := range names {
				if bundler.RenewalDue(now, "ahd", name) {
					count++
					if due == 0 && count == 1 {
						first[name]++
					}
				}
			}
			is.True(count >= due) // once due, an instance stays due until it reads a renewal
			due = count
		}
		is.Equal(due, len(names)) // every instance would take over within the window
		bundler.ApplyPage(page(1, renewal(v1, 0, 0)), windowStart.Add(time.Second))
		is.True(!bundler.RenewalDue(windowStart.Add(windowLength-1), "ahd", "a")) // one renewal is enough for the window
	}
	is.Equal(len(first), len(names)) // each instance was first in some window
}
