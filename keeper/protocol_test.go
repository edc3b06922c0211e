package keeper_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/keeper"
)

// newTrio returns three keepers in view 0, the first of them, and a submission with a key of a slice that it owns.
func newTrio() (*cluster, *keeper.Keeper, keeper.Submission) {
	cluster := newGroup(3)
	owner := cluster.keepers[cluster.members[0].Incarnation]
	return cluster, owner, keeper.Submission{Key: owner.KeyPrefix(cluster.now) + "job", Digest: dispatcher.Digest{1}, Deadline: cluster.now.Add(time.Minute)}
}

// findRecord returns the first Record among outgoing messages and the incarnation that it is sent to.
func findRecord(outgoing []keeper.Outgoing) (keeper.Record, string) {
	for _, sent := range outgoing {
		if record, isRecord := sent.Message.(keeper.Record); isRecord {
			return record, sent.To.Incarnation
		}
	}
	return keeper.Record{}, ""
}

// TestLateMessagesOfAnEarlierAttempt guards against counting an acknowledgement or a withdrawal that a second request
// to the same witness has overtaken: the start would be granted without a copy at the witness, or lose that copy.
func TestLateMessagesOfAnEarlierAttempt(t *testing.T) {
	is := is.New(t)
	cluster, owner, submission := newTrio()
	self := cluster.members[0].Incarnation
	_, outgoing := owner.Submit(submission, cluster.now)
	first, witness := findRecord(outgoing)
	var second keeper.Record
	var to string
	for to != witness {
		cluster.now = cluster.now.Add(25 * time.Millisecond)
		_, outgoing = owner.HandleDeadlines(cluster.now)
		second, to = findRecord(outgoing)
		is.True(to != "") // the first witness must be asked a second time
	}
	events, _ := owner.Receive(witness, keeper.RecordAck{Key: first.Key, View: first.View, Sequence: first.Sequence}, cluster.now)
	is.Equal(len(events), 0) // the acknowledged record has been withdrawn
	_, acks := cluster.keepers[witness].Receive(self, second, cluster.now)
	cluster.keepers[witness].Receive(self, keeper.Withdraw{Key: first.Key, View: first.View, Sequence: first.Sequence}, cluster.now)
	is.Equal(cluster.keepers[witness].RecordCount(), 1) // a late withdrawal must not remove the second copy
	events, _ = owner.Receive(witness, acks[0].Message, cluster.now)
	is.Equal(len(events), 1)
	_, acks = cluster.keepers[witness].Receive(self, first, cluster.now)
	_, refused := acks[0].Message.(keeper.RecordRefused)
	is.True(refused) // the first record is older than the stored one
}

// TestCancellationIsFinal guards against a start after a cancellation whose acknowledgement was lost: because of the
// witness's copy, a later owner would answer "not run" for a job that ran.
func TestCancellationIsFinal(t *testing.T) {
	is := is.New(t)
	cluster, owner, submission := newTrio()
	owner.Cancel(submission.Key, false, cluster.now)
	for range 10 {
		cluster.now = cluster.now.Add(25 * time.Millisecond)
		owner.HandleDeadlines(cluster.now)
	}
	decision, outgoing := owner.Submit(submission, cluster.now)
	record, _ := findRecord(outgoing)
	is.Equal(record.State, keeper.StateCancelled)
	_, waits := decision.(keeper.AwaitWitness)
	is.True(waits) // an unconfirmed cancellation must not be answered
}

// TestFind guards against a Find that creates a record or returns the wrong state.
func TestFind(t *testing.T) {
	is := is.New(t)
	cluster, owner, submission := newTrio()
	find := func(at int) keeper.Decision {
		decision, outgoing := cluster.keepers[cluster.members[at].Incarnation].Find(submission.Key, false, cluster.now)
		is.Equal(len(outgoing), 0)
		return decision
	}
	is.Equal(find(0), keeper.Absent{})
	is.Equal(find(1), keeper.Forward{To: cluster.members[0]})
	is.Equal(owner.RecordCount(), 0) // Find creates no record
	owner.Submit(submission, cluster.now)
	is.Equal(find(0), keeper.Running{})
	cluster, owner, submission = newTrio()
	cluster.runJob(owner, submission.Key)
	is.Equal(find(0), keeper.Answer{Outcome: dispatcher.Complete{}})
}

// TestHeldAnswersAreBounded guards against kept answers that exceed their memory limit, and against a job that starts
// again because its answer was dropped.
func TestHeldAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	self := benchMembers(1)
	limits := benchLimits()
	limits.MaxAnswerBytes = keeper.SliceCount * 1000
	owner := keeper.New(self[0], "hanoi-a", limits, now)
	owner.Adopt(0, keeper.View{Prev: keeper.NoView, Members: self}, now)
	prefix := owner.KeyPrefix(now)
	outcome := dispatcher.NewComplete([]dispatcher.TaskResult{{Name: "a", Result: []byte(fmt.Sprintf("%0400d", 0))}})
	for i := range 5 {
		submission := keeper.Submission{Key: fmt.Sprint(prefix, i)}
		decision, _ := owner.Submit(submission, now)
		is.Equal(decision, keeper.StartNow{})
		owner.Finish(submission.Key, outcome, now)
	}
	want := []keeper.Decision{
		keeper.AnswerLost{Fate: dispatcher.FateFinished},
		keeper.AnswerLost{Fate: dispatcher.FateFinished},
		keeper.AnswerLost{Fate: dispatcher.FateFinished},
		keeper.Answer{Outcome: outcome},
		keeper.Answer{Outcome: outcome},
	}
	for i, expected := range want {
		decision, _ := owner.Submit(keeper.Submission{Key: fmt.Sprint(prefix, i)}, now)
		is.Equal(decision, expected) // the two newest answers fit, and no job starts again
	}
}

// TestLaterViewDoesNotAnswerSync guards against an answer to a sync request of an earlier view: the member may have
// dropped records in its later view that the owner still needs.
func TestLaterViewDoesNotAnswerSync(t *testing.T) {
	is := is.New(t)
	cluster, _, _ := newTrio()
	member := cluster.keepers[cluster.members[1].Incarnation]
	member.Adopt(1, keeper.View{Prev: 0, Members: cluster.members}, cluster.now)
	var every []int
	for slice := range keeper.SliceCount {
		every = append(every, slice)
	}
	_, outgoing := member.Receive(cluster.members[0].Incarnation, keeper.SyncRequest{View: 0, Slices: every, Sequence: 1}, cluster.now)
	is.Equal(len(outgoing), 0)
	_, outgoing = member.Receive(cluster.members[0].Incarnation, keeper.SyncRequest{View: 2, Slices: every, Sequence: 2}, cluster.now)
	is.Equal(len(outgoing), 0) // not before the view is adopted
	_, outgoing = member.Adopt(2, keeper.View{Prev: 1, Members: cluster.members}, cluster.now)
	is.True(len(outgoing) > 0) // the deferred request is answered
}

// TestReadersAgreeOnViews guards against readers of the log that disagree on which views are valid.
func TestReadersAgreeOnViews(t *testing.T) {
	members := benchMembers(3)
	type entry struct {
		offset int64
		view   keeper.View
	}
	view := func(offset, prev int64) entry { return entry{offset, keeper.View{Prev: prev, Members: members}} }
	reset := entry{8, keeper.View{Prev: 2, Members: members, Reset: true}}
	for _, test := range []struct {
		name     string
		earliest int64
		log      []entry
		want     int64
	}{
		{"first view of an untrimmed log", 0, []entry{view(0, keeper.NoView)}, 0},
		{"second proposal for one view", 0, []entry{view(0, keeper.NoView), view(1, 0), view(2, 0)}, 1},
		{"follower of an ignored view", 0, []entry{view(0, keeper.NoView), view(1, 0), view(2, 0), view(3, 2)}, 1},
		{"repeated record", 0, []entry{view(0, keeper.NoView), view(1, 0), view(1, 0)}, 1},
		{"trimmed log with one view", 5, []entry{view(6, 3)}, keeper.NoView},
		{"trimmed log with a view that a later one names", 5, []entry{view(6, 3), view(7, 3), view(9, 6)}, 9},
		{"trimmed log with a loser", 5, []entry{view(6, 3), view(7, 3), view(9, 7)}, 9},
		{"reset", 5, []entry{view(6, 3), reset, view(9, 6), view(10, 8)}, 10},
		{"later reset", 0, []entry{view(0, keeper.NoView), reset, {9, reset.view}}, 9},
		{"view without members", 0, []entry{{0, keeper.View{Prev: keeper.NoView}}}, keeper.NoView},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			reader := keeper.New(members[0], "d", benchLimits(), time.Unix(1000, 0))
			reader.SetEarliestOffset(test.earliest)
			for _, entry := range test.log {
				reader.Adopt(entry.offset, entry.view, time.Unix(1000, 0))
			}
			number, _ := reader.View()
			is.Equal(number, test.want)
		})
	}
}

// TestParseKey guards against ambiguous keys, and against a forged key that crashes the process.
func TestParseKey(t *testing.T) {
	is := is.New(t)
	for form, text := range []string{"order-1", "~hanoi-a.12.63.order.1", "~hanoi-a.n1-5.solo-0.order"} {
		key, err := keeper.ParseKey(text)
		is.NoErr(err)
		is.Equal(key.Form(), keeper.KeyForm(form))
		is.True(key.Slice() >= 0 && key.Slice() < keeper.SliceCount)
	}
	for _, text := range []string{
		"", "~", "~hanoi-a.12.64.order", "~hanoi-a.012.6.order", "~hanoi-a.-1.6.order", "~hanoi-a.1.6.", "~hanoi-a.1.solo-x.order",
	} {
		_, err := keeper.ParseKey(text)
		is.True(err != nil) // the key must be refused
	}
}

// exchange delivers messages between the owner and the other members until none is left, and counts messages and the
// owner's events.
func (cluster *cluster) exchange(owner *keeper.Keeper, outgoing []keeper.Outgoing) (messages, events int) {
	for ; len(outgoing) > 0; messages += 2 {
		member := outgoing[0].To.Incarnation
		_, replies := cluster.keepers[member].Receive(cluster.members[0].Incarnation, outgoing[0].Message, cluster.now)
		emitted, more := owner.Receive(member, replies[0].Message, cluster.now)
		outgoing, events = append(outgoing[1:], more...), events+len(emitted)
	}
	return messages, events
}

// TestMessages guards against more than two messages before a start, and against one confirmation per refusal under
// overload: all refusals that are decided while a batch is in flight share the next one.
func TestMessages(t *testing.T) {
	is := is.New(t)
	cluster, owner, submission := newTrio()
	_, outgoing := owner.Submit(submission, cluster.now)
	messages, events := cluster.exchange(owner, outgoing)
	is.Equal([]int{messages, events}, []int{2, 1})
	outgoing = nil
	for number := range 100 {
		submission.Key = fmt.Sprint(owner.KeyPrefix(cluster.now), number)
		_, sent := owner.Refuse(submission, dispatcher.NewRefused(dispatcher.ReasonOverload, "full", "", time.Time{}), cluster.now)
		outgoing = append(outgoing, sent...)
	}
	messages, events = cluster.exchange(owner, outgoing)
	is.Equal([]int{messages, events}, []int{4, 100})
}

// TestConcurrentUse guards against data races and deadlocks between requests, messages, view changes and deadlines.
func TestConcurrentUse(t *testing.T) {
	cluster, owner, _ := newTrio()
	var jobs sync.WaitGroup
	for worker := range 4 {
		jobs.Go(func() {
			for number := range 300 {
				cluster.runJob(owner, fmt.Sprint(owner.KeyPrefix(cluster.now), worker, "-", number))
				owner.Refuse(keeper.Submission{Key: fmt.Sprint(owner.KeyPrefix(cluster.now), number)}, dispatcher.Refused{}, cluster.now)
				owner.HandleDeadlines(cluster.now)
			}
		})
	}
	for offset := range int64(50) {
		cluster.adopt(offset+1, keeper.View{Prev: offset, Members: cluster.members, ExpiryFloor: max(0, offset-1)})
		owner.SetAdoptedByAll(offset+1, cluster.now)
	}
	jobs.Wait()
	is.New(t).True(owner.Synced())
}

// TestPlainKeysAfterLongHistory guards against a crash that closes slices to plain keys only because the views before
// the kept ones, or before a replaced member, are unknown. Starts in them are no longer protected.
func TestPlainKeysAfterLongHistory(t *testing.T) {
	for _, test := range []struct {
		name string
		wait time.Duration
		open bool
	}{{"adopted by all long enough ago", 21 * time.Minute, true}, {"adopted by all too recently", 15 * time.Minute, false}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			cluster, _, _ := newTrio()
			for offset := range int64(70) {
				cluster.adopt(offset+1, keeper.View{Prev: offset, Members: cluster.members})
			}
			for _, member := range cluster.members {
				cluster.keepers[member.Incarnation].SetAdoptedByAll(70, cluster.now)
			}
			cluster.now = cluster.now.Add(test.wait)
			delete(cluster.keepers, cluster.members[0].Incarnation)
			cluster.members = cluster.members[1:]
			cluster.adopt(71, keeper.View{Prev: 70, Members: cluster.members})
			opened := true
			for number := range 200 {
				key := fmt.Sprint("plain-", number)
				parsed, err := keeper.ParseKey(key)
				is.NoErr(err)
				owner, _ := cluster.keepers[cluster.members[0].Incarnation].Owner(parsed.Slice())
				decision, _ := cluster.keepers[owner.Incarnation].Submit(keeper.Submission{Key: key}, cluster.now)
				_, waits := decision.(keeper.AwaitWitness)
				opened = opened && waits
			}
			is.Equal(opened, test.open)
		})
	}
}

// TestRecordOfANonOwner guards against a witness that acknowledges the record of an instance which does not own the
// slice in their common view: that instance could start a job that the owner has already started.
func TestRecordOfANonOwner(t *testing.T) {
	is := is.New(t)
	cluster, _, submission := newTrio()
	record := keeper.Record{Key: submission.Key, Digest: submission.Digest, View: 0, State: keeper.StatePending, Sequence: 1}
	_, replies := cluster.keepers[cluster.members[2].Incarnation].Receive(cluster.members[1].Incarnation, record, cluster.now)
	is.Equal(len(replies), 1)
	_, refused := replies[0].Message.(keeper.RecordRefused)
	is.True(refused)
}
