package keeper_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/keeper"
)

var sizes = []int{1_000, 30_000, 1_000_000}

func benchLimits() keeper.Limits {
	return keeper.Limits{
		MaxAnswerBytes: 1 << 30,
		MaxRecords:     4_000_000, Retention: 10 * time.Minute, MaxRun: 10 * time.Minute, AckTimeout: 20 * time.Millisecond,
		SyncTimeout: time.Second, OutcomeInterval: 100 * time.Millisecond,
	}
}

func benchMembers(count int) (members []keeper.Member) {
	for i := range count {
		members = append(members, keeper.Member{Name: fmt.Sprint("instance-", i), Incarnation: fmt.Sprintf("instance-%d-5f3a9c", i), Address: "10.0.0.1:7000"})
	}
	return members
}

// group is a set of keepers whose messages arrive at once.
type group struct {
	keepers map[string]*keeper.Keeper
	members []keeper.Member
	now     time.Time
	count   int
	bytes   int
}

func newGroup(size int) *group {
	group := &group{keepers: map[string]*keeper.Keeper{}, members: benchMembers(size), now: time.Unix(1000, 0)}
	for _, member := range group.members {
		group.keepers[member.Incarnation] = keeper.New(member, "hanoi-a", benchLimits(), group.now)
	}
	group.adopt(0, keeper.View{Prev: keeper.NoView, Members: group.members})
	return group
}

func (group *group) adopt(offset int64, view keeper.View) {
	var sent []func()
	for _, member := range group.members {
		_, outgoing := group.keepers[member.Incarnation].Adopt(offset, view, group.now)
		sent = append(sent, func() { group.deliver(member, outgoing) })
	}
	for _, deliver := range sent {
		deliver()
	}
}

// deliver passes messages on until none is left.
func (group *group) deliver(from keeper.Member, outgoing []keeper.Outgoing) {
	for _, sent := range outgoing {
		if _, isSync := sent.Message.(keeper.SyncResponse); isSync {
			encoded, err := cbor.Marshal(sent.Message)
			if err != nil {
				panic(err)
			}
			group.count++
			group.bytes += len(encoded)
		}
		if receiver := group.keepers[sent.To.Incarnation]; receiver != nil {
			_, replies := receiver.Receive(from.Incarnation, sent.Message, group.now)
			group.deliver(sent.To, replies)
		}
	}
}

// runJob takes one job from Submit to Finish at the first member.
func (group *group) runJob(owner *keeper.Keeper, key string) {
	submission := keeper.Submission{Key: key, Digest: dispatcher.Digest{1}, Deadline: group.now.Add(time.Minute)}
	_, outgoing := owner.Submit(submission, group.now)
	for _, sent := range outgoing {
		if record, isRecord := sent.Message.(keeper.Record); isRecord {
			// A decoded message has its own copy of the key.
			record.Key = strings.Clone(record.Key)
			sent.Message = record
		}
		_, replies := group.keepers[sent.To.Incarnation].Receive(group.members[0].Incarnation, sent.Message, group.now)
		for _, reply := range replies {
			owner.Receive(sent.To.Incarnation, reply.Message, group.now)
		}
	}
	owner.Finish(key, dispatcher.Complete{}, group.now)
}

func (group *group) fill(records int) *keeper.Keeper {
	owner := group.keepers[group.members[0].Incarnation]
	for number := range records {
		group.runJob(owner, fmt.Sprintf("%sjob-%010d", owner.KeyPrefix(group.now), number))
	}
	return owner
}

// BenchmarkJob measures Submit, the record at the witness, its acknowledgement and Finish.
func BenchmarkJob(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			group := newGroup(3)
			owner := group.fill(size)
			b.ReportAllocs()
			number := 0
			for b.Loop() {
				group.runJob(owner, fmt.Sprintf("%snew-%010d", owner.KeyPrefix(group.now), number))
				number++
			}
		})
	}
}

// BenchmarkRecordMemory measures the heap per record at the owner and its witnesses together.
func BenchmarkRecordMemory(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				group := newGroup(3)
				runtime.GC()
				runtime.ReadMemStats(&before)
				group.fill(size)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(2*size), "B/record")
				runtime.KeepAlive(group)
			}
		})
	}
}

// BenchmarkMessages measures the CBOR of the messages of one job.
func BenchmarkMessages(b *testing.B) {
	key := "~hanoi-a.123456.42.5f3a9c1e-7d2b-4c1a-9f3e-2b1c0d4e5f60"
	for _, message := range []keeper.Message{
		keeper.Record{Key: key, Digest: dispatcher.Digest{1}, View: 123456, State: keeper.StatePending, Sequence: 1 << 20},
		keeper.RecordAck{Key: key, View: 123456, Sequence: 1 << 20},
		keeper.OutcomeBatch{Sequence: 1 << 20, Outcomes: []keeper.RecordOutcome{{Key: key, View: 123456, Sequence: 1 << 20, State: keeper.StateFinished}}},
	} {
		b.Run(fmt.Sprintf("%T", message), func(b *testing.B) {
			size := 0
			for b.Loop() {
				encoded, err := cbor.Marshal(message)
				if err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
}

// BenchmarkSync measures the hand-over of the first member's slices, as it departs, to the others.
func BenchmarkSync(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				group := newGroup(3)
				group.fill(size)
				group.count, group.bytes = 0, 0
				b.StartTimer()
				group.adopt(1, keeper.View{Prev: 0, Members: group.members[1:], Departing: group.members[:1]})
				b.ReportMetric(float64(group.bytes), "B/sync")
				b.ReportMetric(float64(group.count), "messages/sync")
			}
		})
	}
}

// BenchmarkAdopt measures reading a renewal, which moves no slice, at the first member.
func BenchmarkAdopt(b *testing.B) {
	for _, size := range []int{3, 9, 27} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			group := newGroup(size)
			first := group.keepers[group.members[0].Incarnation]
			offset := int64(1)
			b.ReportAllocs()
			for b.Loop() {
				first.Adopt(offset, keeper.View{Prev: offset - 1, Members: group.members}, group.now)
				offset++
			}
		})
	}
}
