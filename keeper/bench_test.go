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

// cluster is a set of keepers with instant delivery of messages.
type cluster struct {
	keepers      map[string]*keeper.Keeper
	members      []keeper.Member
	now          time.Time
	syncMessages int
	syncBytes    int
}

func newGroup(size int) *cluster {
	cluster := &cluster{keepers: map[string]*keeper.Keeper{}, members: benchMembers(size), now: time.Unix(1000, 0)}
	for _, member := range cluster.members {
		cluster.keepers[member.Incarnation] = keeper.New(member, "hanoi-a", benchLimits(), cluster.now)
	}
	cluster.adopt(0, keeper.View{Prev: keeper.NoView, Members: cluster.members})
	return cluster
}

func (cluster *cluster) adopt(offset int64, view keeper.View) {
	var sent []func()
	for _, member := range cluster.members {
		_, outgoing := cluster.keepers[member.Incarnation].Adopt(offset, view, cluster.now)
		sent = append(sent, func() { cluster.deliver(member, outgoing) })
	}
	for _, deliver := range sent {
		deliver()
	}
}

// deliver delivers messages and the replies to them until none is left, and counts the sync responses.
func (cluster *cluster) deliver(from keeper.Member, outgoing []keeper.Outgoing) {
	for _, sent := range outgoing {
		if _, isSync := sent.Message.(keeper.SyncResponse); isSync {
			encoded, err := cbor.Marshal(sent.Message)
			if err != nil {
				panic(err)
			}
			cluster.syncMessages++
			cluster.syncBytes += len(encoded)
		}
		if receiver := cluster.keepers[sent.To.Incarnation]; receiver != nil {
			_, replies := receiver.Receive(from.Incarnation, sent.Message, cluster.now)
			cluster.deliver(sent.To, replies)
		}
	}
}

// runJob runs one job from Submit to Finish at its owner, which must be the first member.
func (cluster *cluster) runJob(owner *keeper.Keeper, key string) {
	submission := keeper.Submission{Key: key, Digest: dispatcher.Digest{1}, Deadline: cluster.now.Add(time.Minute)}
	_, outgoing := owner.Submit(submission, cluster.now)
	for _, sent := range outgoing {
		if record, isRecord := sent.Message.(keeper.Record); isRecord {
			// A decoded message has its own copy of the key.
			record.Key = strings.Clone(record.Key)
			sent.Message = record
		}
		_, replies := cluster.keepers[sent.To.Incarnation].Receive(cluster.members[0].Incarnation, sent.Message, cluster.now)
		for _, reply := range replies {
			owner.Receive(sent.To.Incarnation, reply.Message, cluster.now)
		}
	}
	owner.Finish(key, dispatcher.Complete{}, cluster.now)
}

func (cluster *cluster) fill(records int) *keeper.Keeper {
	owner := cluster.keepers[cluster.members[0].Incarnation]
	for number := range records {
		cluster.runJob(owner, fmt.Sprintf("%sjob-%010d", owner.KeyPrefix(cluster.now), number))
	}
	return owner
}

// BenchmarkJob measures Submit, the record at the witness, its acknowledgement and Finish.
func BenchmarkJob(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			cluster := newGroup(3)
			owner := cluster.fill(size)
			b.ReportAllocs()
			number := 0
			for b.Loop() {
				cluster.runJob(owner, fmt.Sprintf("%snew-%010d", owner.KeyPrefix(cluster.now), number))
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
				cluster := newGroup(3)
				runtime.GC()
				runtime.ReadMemStats(&before)
				cluster.fill(size)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(2*size), "B/record")
				runtime.KeepAlive(cluster)
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

// BenchmarkSync measures the hand-over of the first member's slices to the others as it departs.
func BenchmarkSync(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				cluster := newGroup(3)
				cluster.fill(size)
				cluster.syncMessages, cluster.syncBytes = 0, 0
				b.StartTimer()
				cluster.adopt(1, keeper.View{Prev: 0, Members: cluster.members[1:], Departing: cluster.members[:1]})
				b.ReportMetric(float64(cluster.syncBytes), "B/sync")
				b.ReportMetric(float64(cluster.syncMessages), "messages/sync")
			}
		})
	}
}

// BenchmarkAdopt measures the adoption of a renewal, which moves no slice, at the first member.
func BenchmarkAdopt(b *testing.B) {
	for _, size := range []int{3, 9, 27} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			cluster := newGroup(size)
			first := cluster.keepers[cluster.members[0].Incarnation]
			offset := int64(1)
			b.ReportAllocs()
			for b.Loop() {
				first.Adopt(offset, keeper.View{Prev: offset - 1, Members: cluster.members}, cluster.now)
				offset++
			}
		})
	}
}
