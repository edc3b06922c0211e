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

// trio returns three keepers in view 0, the first one, and a key of a slice that it owns.
func trio() (*group, *keeper.Keeper, keeper.Submission) {
	group := newGroup(3)
	owner := group.keepers[group.members[0].Incarnation]
	return group, owner, keeper.Submission{Key: owner.KeyPrefix(group.now) + "job", Digest: dispatcher.Digest{1}, Deadline: group.now.Add(time.Minute)}
}

// asked returns the record in outgoing messages and its addressee.
func asked(outgoing []keeper.Outgoing) (keeper.Record, string) {
	for _, sent := range outgoing {
		if record, isRecord := sent.Message.(keeper.Record); isRecord {
			return record, sent.To.Incarnation
		}
	}
	return keeper.Record{}, ""
}

// TestLateMessagesOfAnEarlierAttempt guards against an acknowledgement or a withdrawal that is overtaken by a
// second attempt with the same witness: the start would be granted without a copy, or lose its copy.
func TestLateMessagesOfAnEarlierAttempt(t *testing.T) {
	is := is.New(t)
	group, owner, submission := trio()
	self := group.members[0].Incarnation
	_, outgoing := owner.Submit(submission, group.now)
	first, witness := asked(outgoing)
	var second keeper.Record
	var to string
	for to != witness {
		group.now = group.now.Add(25 * time.Millisecond)
		_, outgoing = owner.HandleDeadlines(group.now)
		second, to = asked(outgoing)
		is.True(to != "") // the first witness must be asked a second time
	}
	events, _ := owner.Receive(witness, keeper.RecordAck{Key: first.Key, View: first.View, Sequence: first.Sequence}, group.now)
	is.Equal(len(events), 0) // the acknowledged attempt has been withdrawn
	_, acks := group.keepers[witness].Receive(self, second, group.now)
	group.keepers[witness].Receive(self, keeper.Withdraw{Key: first.Key, View: first.View, Sequence: first.Sequence}, group.now)
	is.Equal(group.keepers[witness].RecordCount(), 1) // a late withdrawal must not remove the second copy
	events, _ = owner.Receive(witness, acks[0].Message, group.now)
	is.Equal(len(events), 1)
	_, acks = group.keepers[witness].Receive(self, first, group.now)
	_, refused := acks[0].Message.(keeper.RecordRefused)
	is.True(refused) // the first record is older than the stored one
}

// TestCancellationIsFinal guards against a start after a cancellation whose acknowledgement was lost: the copy
// at the witness would make a successor answer "not run" for a job that ran.
func TestCancellationIsFinal(t *testing.T) {
	is := is.New(t)
	group, owner, submission := trio()
	owner.Cancel(submission.Key, false, group.now)
	for range 10 {
		group.now = group.now.Add(25 * time.Millisecond)
		owner.HandleDeadlines(group.now)
	}
	decision, outgoing := owner.Submit(submission, group.now)
	record, _ := asked(outgoing)
	is.Equal(record.State, keeper.StateCancelled)
	_, waits := decision.(keeper.AwaitWitness)
	is.True(waits) // an unconfirmed cancellation must not be told
}

// TestFind guards against a question about a job that starts it, or that hides its state.
func TestFind(t *testing.T) {
	is := is.New(t)
	group, owner, submission := trio()
	find := func(at int) keeper.Decision {
		decision, outgoing := group.keepers[group.members[at].Incarnation].Find(submission.Key, false, group.now)
		is.Equal(len(outgoing), 0)
		return decision
	}
	is.Equal(find(0), keeper.Absent{})
	is.Equal(find(1), keeper.Forward{To: group.members[0]})
	is.Equal(owner.RecordCount(), 0) // a question leaves no record
	owner.Submit(submission, group.now)
	is.Equal(find(0), keeper.Running{})
	group, owner, submission = trio()
	group.runJob(owner, submission.Key)
	is.Equal(find(0), keeper.Answer{Outcome: dispatcher.Complete{}})
}

// TestHeldAnswersAreBounded guards against answers that fill the memory, and against a job that starts again because its
// answer was dropped.
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

// TestLaterViewDoesNotAnswerSync guards against a member that has dropped expired records in a later view and
// answers an owner that still counts on them.
func TestLaterViewDoesNotAnswerSync(t *testing.T) {
	is := is.New(t)
	group, _, _ := trio()
	member := group.keepers[group.members[1].Incarnation]
	member.Adopt(1, keeper.View{Prev: 0, Members: group.members}, group.now)
	var every []int
	for slice := range keeper.SliceCount {
		every = append(every, slice)
	}
	_, outgoing := member.Receive(group.members[0].Incarnation, keeper.SyncRequest{View: 0, Slices: every, Sequence: 1}, group.now)
	is.Equal(len(outgoing), 0)
	_, outgoing = member.Receive(group.members[0].Incarnation, keeper.SyncRequest{View: 2, Slices: every, Sequence: 2}, group.now)
	is.Equal(len(outgoing), 0) // not before the view is adopted
	_, outgoing = member.Adopt(2, keeper.View{Prev: 1, Members: group.members}, group.now)
	is.True(len(outgoing) > 0) // the kept request is answered
}

// TestChain guards against an accepted view that another reader ignores.
func TestChain(t *testing.T) {
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

// TestParseKey guards against two readings of one key, and against a forged key that stops the process.
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

// pump passes messages between the owner and the others until none is left, and counts messages and events.
func (group *group) pump(owner *keeper.Keeper, outgoing []keeper.Outgoing) (messages, events int) {
	for ; len(outgoing) > 0; messages += 2 {
		member := outgoing[0].To.Incarnation
		_, replies := group.keepers[member].Receive(group.members[0].Incarnation, outgoing[0].Message, group.now)
		emitted, more := owner.Receive(member, replies[0].Message, group.now)
		outgoing, events = append(outgoing[1:], more...), events+len(emitted)
	}
	return messages, events
}

// TestMessages guards against more than two messages before a start, and against one confirmation per refusal
// under overload: all that are decided while a batch is in flight share the next one.
func TestMessages(t *testing.T) {
	is := is.New(t)
	group, owner, submission := trio()
	_, outgoing := owner.Submit(submission, group.now)
	messages, events := group.pump(owner, outgoing)
	is.Equal([]int{messages, events}, []int{2, 1})
	outgoing = nil
	for number := range 100 {
		submission.Key = fmt.Sprint(owner.KeyPrefix(group.now), number)
		_, sent := owner.Refuse(submission, dispatcher.NewRefused(dispatcher.ReasonOverload, "full", "", time.Time{}), group.now)
		outgoing = append(outgoing, sent...)
	}
	messages, events = group.pump(owner, outgoing)
	is.Equal([]int{messages, events}, []int{4, 100})
}

// TestConcurrentUse guards against data races and deadlocks between requests, messages, views and deadlines.
func TestConcurrentUse(t *testing.T) {
	group, owner, _ := trio()
	var jobs sync.WaitGroup
	for worker := range 4 {
		jobs.Go(func() {
			for number := range 300 {
				group.runJob(owner, fmt.Sprint(owner.KeyPrefix(group.now), worker, "-", number))
				owner.Refuse(keeper.Submission{Key: fmt.Sprint(owner.KeyPrefix(group.now), number)}, dispatcher.Refused{}, group.now)
				owner.HandleDeadlines(group.now)
			}
		})
	}
	for offset := range int64(50) {
		group.adopt(offset+1, keeper.View{Prev: offset, Members: group.members, ExpiryFloor: max(0, offset-1)})
		owner.SetAdoptedByAll(offset+1, group.now)
	}
	jobs.Wait()
	is.New(t).True(owner.Synced())
}

// TestPlainKeysAfterLongHistory guards against a crash that closes slices to plain keys only because the views
// before the kept ones, or before a replaced member, are unknown: no start in them is protected any more.
func TestPlainKeysAfterLongHistory(t *testing.T) {
	for _, test := range []struct {
		name string
		wait time.Duration
		open bool
	}{{"accounted long ago", 21 * time.Minute, true}, {"accounted lately", 15 * time.Minute, false}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			group, _, _ := trio()
			for offset := range int64(70) {
				group.adopt(offset+1, keeper.View{Prev: offset, Members: group.members})
			}
			for _, member := range group.members {
				group.keepers[member.Incarnation].SetAdoptedByAll(70, group.now)
			}
			group.now = group.now.Add(test.wait)
			delete(group.keepers, group.members[0].Incarnation)
			group.members = group.members[1:]
			group.adopt(71, keeper.View{Prev: 70, Members: group.members})
			opened := true
			for number := range 200 {
				key := fmt.Sprint("plain-", number)
				parsed, err := keeper.ParseKey(key)
				is.NoErr(err)
				owner, _ := group.keepers[group.members[0].Incarnation].Owner(parsed.Slice())
				decision, _ := group.keepers[owner.Incarnation].Submit(keeper.Submission{Key: key}, group.now)
				_, waits := decision.(keeper.AwaitWitness)
				opened = opened && waits
			}
			is.Equal(opened, test.open)
		})
	}
}

// TestRecordOfANonOwner guards against a witness that acknowledges an instance which does not own the slice in
// their common view: that instance could start what the owner has already started.
func TestRecordOfANonOwner(t *testing.T) {
	is := is.New(t)
	group, _, submission := trio()
	record := keeper.Record{Key: submission.Key, Digest: submission.Digest, View: 0, State: keeper.StatePending, Sequence: 1}
	_, replies := group.keepers[group.members[2].Incarnation].Receive(group.members[1].Incarnation, record, group.now)
	is.Equal(len(replies), 1)
	_, refused := replies[0].Message.(keeper.RecordRefused)
	is.True(refused)
}
