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

// step gives a follower one input and names the bundle that must be in force after it.
type step struct {
	page  Page
	offer *Offer
	want  string
}

func offered(record Record, offset, through int64, want string) step {
	return step{offer: &Offer{Record: record, Offset: offset, Through: through}, want: want}
}

func read(want string, earliest int64, records ...Record) step {
	return step{page: page(earliest, records...), want: want}
}

// partial is a page that does not reach the end of the log.
func partial(want string, earliest, next int64, records ...Record) step {
	step := read(want, earliest, records...)
	step.page.Next = next
	return step
}

func raw(want string, offset int64, data string) step {
	return step{page: Page{Earliest: 0, Next: offset + 1, Entries: []Entry{{Offset: offset, Data: []byte(data)}}}, want: want}
}

func tampered(change func(*Record)) Record {
	record := v2
	change(&record)
	return record
}

func at(offset int64, record Record) step {
	return raw("v1", offset, string(encode(record)))
}

var foldCases = []struct {
	name  string
	steps []step
}{
	{"trimmed log with a loser after the renewal", []step{read("v2", 2, renewal(v2, 1, 1), v2Loser)}},
	{"loser outlives the winner", []step{read("", 2, v2Loser), read("v2", 2, v2Loser, renewal(v2, 1, 2))}},
	{"loser outlives the winner, with a late renewal of the bundle before", []step{
		read("", 2, v2Loser, renewal(v1, 0, 0)),
		read("v2", 2, v2Loser, renewal(v1, 0, 0), renewal(v2, 1, 3)),
	}},
	{"publication between a renewal's reading and its appending", []step{read("v3", 2, renewal(v2, 1, 1), v3, renewal(v2, 1, 2))}},
	{"start in the middle of the log", []step{partial("", 0, 2, v1), read("v2", 0, v1, v2)}},
	{"appended twice after a lost answer", []step{read("v2", 0, v1, v2), read("v3", 0, v1, v2, v3, v2)}},
	{"log down for an hour and trimmed past the reader", []step{
		read("v1", 0, v1),
		read("v1", 2, v2Loser),
		read("v3", 2, v2Loser, v3, renewal(v3, 3, 3)),
	}},
	{"trimmed past the reader, with the same bundle still in force", []step{
		read("v2", 0, v1, v2),
		read("v2", 3, v2Loser),
		read("v3", 3, v2Loser, renewal(v2, 1, 2), v3),
	}},
	{"log down for an hour, no publication meanwhile", []step{read("v1", 0, v1), read("v1", 1), read("v2", 1, v2, v2Loser)}},
	{"cut off from the log but not from peers", []step{
		read("v1", 0, v1), offered(v2, 1, 1, "v2"), offered(v1, 0, 0, "v2"), offered(v3, 2, 5, "v3"),
		read("v3", 0, v1, v2, v3, v2Loser),
	}},
	{"cut off from both, then a peer that is ahead of the trimmed log", []step{
		read("v1", 0, v1),
		offered(v3, 2, 6, "v3"),
		read("v3", 6, publishRecord(3, 1, "v3-loser")),
		read("v5", 6, publishRecord(3, 1, "v3-loser"), publishRecord(5, 2, "v5")),
	}},
	{"started while the log is down, from a peer", []step{
		offered(tampered(func(record *Record) { record.Text = bundleText(2, "forged") }), 1, 1, ""),
		offered(v2, 1, 1, "v2"),
	}},
	{"started while the log is down, in the middle of reading", []step{
		partial("", 0, 9, v1, v2), offered(v1, 0, 0, "v2"),
	}},
	{"stale peer", []step{read("v2", 0, v1, v2), offered(v1, 0, 0, "v2")}},
	{"peer with a higher offset and a lower version", []step{read("v2", 0, v1, v2), offered(publishRecord(1, 1, "old"), 7, 7, "v2")}},
	{"peer with the same offset and another text", []step{read("v2", 0, v1, v2), offered(v2Loser, 1, 9, "v2")}},
	{"two operators race", []step{read("v2", 0, v1, v2, v2Loser)}},
	{"half-written", []step{read("v1", 0, v1), raw("v1", 1, string(encode(v2))[:200]), at(2, v2Loser).wanting("v2-loser"), at(3, v2).wanting("v2-loser")}},
	{"bytes after the record", []step{read("v1", 0, v1), raw("v1", 1, string(encode(v2))+"{}"), at(2, v2Loser).wanting("v2-loser"), at(3, v2).wanting("v2-loser")}},
	{"text changed", []step{read("v1", 0, v1), at(1, tampered(func(record *Record) { record.Text += "# more\n" }))}},
	{"version changed", []step{read("v1", 0, v1), at(1, tampered(func(record *Record) { record.Version = 9 }))}},
	{"signatures swapped", []step{read("v1", 0, v1), at(1, tampered(func(record *Record) {
		record.Signatures.Author, record.Signatures.Approver = record.Signatures.Approver, record.Signatures.Author
	}))}},
	{"author approves", []step{read("v1", 0, v1), at(1, tampered(func(record *Record) {
		record.Approver, record.Signatures.Approver = record.Author, Sign(linh.key, RoleApprover, record.Text)
	}))}},
	{"unknown approver", []step{read("v1", 0, v1), at(1, tampered(func(record *Record) {
		record.Approver, record.Signatures.Approver = "mallory", Sign(mallory.key, RoleApprover, record.Text)
	}))}},
	{"renewal of a bundle that was never in force", []step{read("v2", 0, v1, v2, v2Loser, renewal(publishRecord(7, 0, "never"), 2, 2))}},
	{"renewal from the future", []step{read("v2", 0, v1, v2, renewal(publishRecord(7, 0, "future"), 40, 50))}},
	{"older version replayed", []step{read("v2", 0, v1, v2), at(2, publishRecord(1, 1, "old")).wanting("v2")}},
	{"would break: a kind without targets", []step{read("v1", 0, v1), at(1, signed(bundleText(2, "broken", "[kind x]\nservice = none\nrepeatable = true"), 0))}},
	{"would break: failure domain removed that may hold keys", []step{
		read("two", 0, signed(bundleText(1, "two", "[failure-domain srt]"), noOffset)),
		at(1, v2).wanting("two"),
		at(2, signed(bundleText(3, "leaving", "[failure-domain srt]\nleaving = true"), 0)).wanting("leaving"),
		at(3, publishRecord(4, 2, "one")).wanting("one"),
		at(4, signed(bundleText(3, "leaving", "[failure-domain srt]\nleaving = true"), 3)).wanting("one"),
	}},
}

func (step step) wanting(note string) step {
	step.want = note
	return step
}

func play(follower follower, steps []step) (int, string) {
	for i, step := range steps {
		if step.offer != nil {
			_, _ = follower.HandleOffer(*step.offer, start)
		} else {
			fresh := step.page
			fresh.Entries = nil
			for _, entry := range step.page.Entries {
				if entry.Offset >= follower.NextOffset() {
					fresh.Entries = append(fresh.Entries, entry)
				}
			}
			follower.ApplyPage(fresh, start)
		}
		if got := inForce(follower); got != step.want {
			return i, got
		}
	}
	return -1, ""
}

// Guards against a bundle in force that no chain of records, renewal or peer proves; the naive version fails each case.
func TestInForce(t *testing.T) {
	for _, test := range foldCases {
		t.Run(test.name, func(t *testing.T) {
			if i, got := play(New(testKeys), test.steps); i >= 0 {
				t.Errorf("step %d: got %q, want %q", i, got, test.steps[i].want)
			}
			if i, _ := play(&naive{}, test.steps); i < 0 {
				t.Error("the naive version passes, so the case shows nothing")
			}
		})
	}
}

// Guards against an operator who is not told, or is told wrongly, which version won a race.
func TestPublicationRace(t *testing.T) {
	is := is.New(t)
	bundler := New(testKeys)
	bundler.ApplyPage(page(0, v1), start)
	winner, err := bundler.Publish(v2)
	is.NoErr(err)
	loser, err := bundler.Publish(v2Loser)
	is.NoErr(err)
	_, ok := winner.Observe(nil)
	is.True(!ok) // nothing read yet
	events := bundler.ApplyPage(Page{Next: 3, Entries: []Entry{{Offset: 1, Data: winner.Data()}, {Offset: 2, Data: loser.Data()}}}, start)
	won, _ := winner.Observe(events)
	is.Equal(won, Published{offset: 1})
	beaten, _ := loser.Observe(events)
	is.Equal(beaten, Conflict{offset: 1, version: 2, author: "linh"})
	_, err = bundler.Publish(v2Loser)
	is.True(err != nil && strings.Contains(err.Error(), "2 is not above 2, the version in force")) // the loser must be rebased
}

// Guards against a request that sees two bundles because a switch changes the one that it holds.
func TestSnapshotOutlivesSwitch(t *testing.T) {
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

// Guards against windows in which no instance renews, all do, or the first one's death prevents a renewal.
func TestRenewalTurns(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e", "f"}
	window := 60 * time.Second / renewalsPerRetention
	first := make(map[string]int)
	for i := range 50 {
		opened := start.Truncate(window).Add(time.Duration(i+1) * window)
		bundler := New(testKeys)
		bundler.ApplyPage(page(0, v1), opened.Add(-time.Second))
		due := 0
		for moment := opened; moment.Before(opened.Add(window)); moment = moment.Add(10 * time.Millisecond) {
			count := 0
			for _, name := range names {
				if bundler.RenewalDue(moment, "ahd", name) {
					count++
					if due == 0 && count == 1 {
						first[name]++
					}
				}
			}
			is.True(count >= due) // a turn once come stays until a renewal is read
			due = count
		}
		is.Equal(due, len(names)) // every instance would take over in time
		bundler.ApplyPage(page(1, renewal(v1, 0, 0)), opened.Add(time.Second))
		is.True(!bundler.RenewalDue(opened.Add(window-1), "ahd", "a")) // the renewal serves the window
	}
	is.Equal(len(first), len(names)) // the work is shared
}
