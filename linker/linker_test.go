package linker

import (
	"bytes"
	"context"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/keeper"
)

// node is a linker behind a loopback HTTP server.
type node struct {
	*Linker
	server   *httptest.Server
	messages chan Message
	// ended counts the links that have ended.
	ended atomic.Int64
}

func (node *node) address() string { return node.server.Listener.Addr().String() }

func (node *node) peer() Peer {
	return Peer{Name: node.self.Name, Incarnation: node.self.Incarnation, Address: node.address()}
}

func testLimits() Limits {
	limits := DefaultLimits()
	limits.PingInterval = 20 * time.Millisecond
	return limits
}

func startNode(tb testing.TB, domain, name string, limits Limits) *node {
	tb.Helper()
	node := &node{messages: make(chan Message, 4096)}
	node.Linker = New(Hello{Domain: domain, Name: name, Incarnation: name + "-1"}, limits, hclog.NewNullLogger(),
		func(_ Hello, message Message) {
			switch message.(type) {
			case Hello:
			case LinkEnded:
				node.ended.Add(1)
			default:
				node.messages <- message
			}
		})
	node.server = httptest.NewServer(node.Linker)
	tb.Cleanup(func() {
		node.Close()
		node.server.Close()
	})
	return node
}

func waitFor(tb testing.TB, what string, done func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(20 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatalf("timed out waiting until %s", what)
		}
	}
}

func join(tb testing.TB, nodes ...*node) {
	tb.Helper()
	var peers []Peer
	for _, node := range nodes {
		peers = append(peers, node.peer())
	}
	for _, node := range nodes {
		node.SetMembers(peers)
	}
	for _, node := range nodes {
		for _, peer := range peers {
			if peer.Incarnation != node.self.Incarnation {
				waitFor(tb, "all instances are linked", func() bool { return node.Connected(peer.Incarnation) })
			}
		}
	}
}

// sampleMessages returns one message of every type with most of its fields set.
func sampleMessages() []Message {
	outcome := EncodeOutcome(dispatcher.NewFailed("cut", []dispatcher.TaskFate{{Name: "t", Fate: dispatcher.FateFinished, Detail: "d"}}), time.Time{})
	return []Message{
		Hello{Version: 1, Domain: "d", Name: "n", Incarnation: "i", Address: "a:1", Weight: 2, Revision: 3, UptimeMS: 4},
		Heartbeat{View: 7, Suspects: []string{"a"}, BundleVersion: 3, Load: 5, Synced: true, Leaving: true},
		KeeperMessage{keeper.Record{Key: "k", Digest: dispatcher.Digest{1, 2}, View: 7, State: keeper.StatePending, Sequence: 3}},
		KeeperMessage{keeper.RecordAck{Key: "k", View: 7, Sequence: 3}},
		KeeperMessage{keeper.RecordRefused{Key: "k", View: 7, Sequence: 3, Current: 8, Full: true}},
		KeeperMessage{keeper.Withdraw{Key: "k", View: 7, Sequence: 3}},
		KeeperMessage{keeper.Confirm{View: 7, Sequence: 2}},
		KeeperMessage{keeper.ConfirmAck{View: 7, Sequence: 2}},
		KeeperMessage{keeper.ConfirmRefused{Sequence: 2, Current: 8}},
		KeeperMessage{keeper.SyncRequest{View: 7, Slices: []int{1, 63}, Sequence: 4}},
		KeeperMessage{keeper.SyncResponse{
			View: 7, Slice: 1, Sequence: 4, Part: 1, Parts: 2, Synced: &keeper.SyncedView{View: 6, Floor: 2, Closed: true},
			Records: []keeper.SyncRecord{{Key: "k", State: keeper.StateStarted, Holder: "h"}},
		}},
		KeeperMessage{keeper.Synced{View: 7, Slices: []int{3}}},
		KeeperMessage{keeper.OutcomeBatch{Sequence: 1, Outcomes: []keeper.RecordOutcome{{Key: "k", View: 7, Sequence: 3, State: keeper.StateFinished}}}},
		KeeperMessage{keeper.OutcomeAck{Sequence: 1}},
		Forward{ID: 1, Key: "k", Kind: "x", Team: "t", RemainingMS: 10, TraceParent: "p", Tasks: []Task{{Name: "t", Payload: []byte("1")}}},
		ForwardAnswer{ID: 1, Key: "k", Outcome: outcome},
		Lookup{ID: 1, Key: "k"},
		LookupAnswer{ID: 1, Key: "k", State: "running", Outcome: &outcome},
		Cancel{ID: 1, Key: "k"},
		CancelAnswer{ID: 1, Key: "k", Result: "too-late"},
		BundleRequest{ID: 1, Stream: "bundles", After: -1},
		BundleResponse{ID: 1, Offset: 4, UnreplacedThrough: 5, Record: []byte("b")},
		StateUpdate{
			Claims:       []Claim{{Target: "t", Task: "k", Attempt: 1, MilliCores: 2, MemoryMB: 3, Accelerators: 4, EstimateMS: 5, Incarnation: 6, AgeMS: 7}},
			Reservations: []Claim{{Target: "t", Task: "k", Attempt: 2, MilliCores: 2}}, ReservationAnswers: []ReservationAnswer{{Target: "t", Task: "k", Attempt: 2, Granted: true}},
			Losses:      []Loss{{Target: "t", Incarnation: 1, Address: "a", Evidence: 2, AgeMS: 3, Observer: "o", Runs: []LostRun{{Task: "k", Attempt: 4, Route: "r", AgeMS: 5, Cleared: true, Fate: 3}}}},
			Queries:     []OwnedRun{{Target: "t", Incarnation: 1, Task: "k", Attempt: 2}},
			Disowned:    []OwnedRun{{Target: "t", Incarnation: 1, Task: "k", Attempt: 2}},
			LeaseEnds:   []LeaseEnd{{Target: "t", RemainingMS: 3}},
			Suspensions: []Suspension{{Target: "t", Incarnation: 1, Task: "k", Attempt: 2, RemainingMS: 3}},
			Responding:  []TargetIncarnation{{Target: "t", Incarnation: 1}},
			Restarts:    []TargetIncarnation{{Target: "t", Incarnation: 2}},
			Ends:        []RunEnd{{Target: "t", Task: "k", Attempt: 1, Number: 2, Cause: 1}},
			Verified:    []TargetIncarnation{{Target: "t", Incarnation: 3}},
			Cancelled:   []CancelledJob{{Job: "j", AgeMS: 2}}, CancelAnswers: []CancelledAnswer{{Job: "j", Active: true}},
			EndOrigins:        []EndOrigin{{Incarnation: 2, AgeMS: 3}},
			EvacuationVersion: 7, Evacuations: []Evacuation{{Domain: "d", Version: 7, Evacuated: true}}, ActiveJobs: []uint64{1, 1 << 63},
			FreeCapacity: []FreeCapacity{{Target: "t", MilliCores: 1, Unreachable: true}}, ReportedIncarnations: []int64{4}, Abandoned: []string{"j"}, Waiting: []int64{1, 0}, Leaving: true, Busy: true, SentUS: 6,
		},
		Delegation{
			ID: 1, Job: "j", Route: "r", Service: "s", Body: "b", Priority: 1, MaxFailures: 2, AgeUS: 3, RemainingUS: 4, ObjectiveUS: 5, SentUS: 6, Joined: true,
			Steps: []JobStep{{Tasks: []string{"k"}, MilliCores: 1, EstimateUS: 2, Label: "l"}, {Tasks: []string{"m"}, DependsOn: []int{0}, MaxPerTarget: 3}},
		},
		DelegationAnswer{ID: 1, Job: "j", Outcome: outcome},
		part{Last: true, Data: []byte{1}},
	}
}

// Guards against a message type that the decoder does not support, and against a field that is lost in encoding.
func TestEveryMessageRoundTrips(t *testing.T) {
	is := is.New(t)
	for _, message := range sampleMessages() {
		encoded, err := encode(message)
		is.NoErr(err)
		decoded, rest, err := decode(encoded)
		is.NoErr(err)
		is.Equal(decoded, message)
		is.Equal(len(rest), 0)
	}
}

// Guards against a malformed or oversized frame that makes the decoder allocate memory or produce a message.
func TestDecoderBounds(t *testing.T) {
	tests := []struct {
		name  string
		frame []byte
	}{
		{"empty", nil},
		{"not a pair", []byte{0x01}},
		{"unknown message name", []byte{0x82, 0x61, 'x', 0xa0}},
		{"unknown field", append([]byte{0x82, 0x68}, "withdraw\xa1\x61x\x01"...)},
		{"duplicate field", append([]byte{0x82, 0x68}, "withdraw\xa2\x64view\x01\x64view\x02"...)},
		{"array claims 2^32 elements", append([]byte{0x82, 0x6c}, "sync-request\xa1\x66slices\x9a\xff\xff\xff\xff"...)},
		{"array of indefinite length", append([]byte{0x82, 0x6c}, "sync-request\xa1\x66slices\x9f\x01\xff"...)},
		{"nesting", append(append([]byte{0x82, 0x6c}, "sync-request\xa1\x66slices"...), bytes.Repeat([]byte{0x81}, 100)...)},
		{"tag", append([]byte{0x82, 0x68}, "withdraw\xa1\x64view\xc1\x01"...)},
		{"truncated text", append([]byte{0x82, 0x68}, "withdraw\xa1\x63key\x7a\x00\x10\x00\x00ab"...)},
		{"text is too long", mustEncode(withdraw(strings.Repeat("k", maxTextBytes+1), 0))},
		{"task of a reservation is too long", mustEncode(StateUpdate{Reservations: []Claim{{Task: strings.Repeat("k", maxTextBytes+1)}}})},
		{"target of an answer is too long", mustEncode(StateUpdate{ReservationAnswers: []ReservationAnswer{{Target: strings.Repeat("k", maxTextBytes+1)}}})},
		{"too many elements", mustEncode(KeeperMessage{keeper.SyncRequest{Slices: make([]int, MaxElements+1)}})},
		{"evacuation of too long a domain", mustEncode(StateUpdate{Evacuations: []Evacuation{{Domain: strings.Repeat("d", maxTextBytes+1), Version: 1}}})},
		{"evacuation without a domain", mustEncode(StateUpdate{Evacuations: []Evacuation{{Version: 1}}})},
		{"evacuation without a version", mustEncode(StateUpdate{Evacuations: []Evacuation{{Domain: "d"}}})},
		{"negative version of evacuations", mustEncode(StateUpdate{EvacuationVersion: -1})},
		{"too many evacuations", mustEncode(StateUpdate{Evacuations: make([]Evacuation, MaxElements+1)})},
		{"too many tasks", mustEncode(Forward{Tasks: make([]Task, dispatcher.MaxTasks+1)})},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if message, _, err := decode(test.frame); err == nil {
				t.Fatalf("decoded %#v, expected an error", message)
			}
		})
	}
}

func withdraw(key string, view int64) Message {
	return KeeperMessage{keeper.Withdraw{Key: key, View: view}}
}

func mustEncode(message Message) []byte {
	encoded, err := encode(message)
	if err != nil {
		panic(err)
	}
	return encoded
}

// A detail cut in the middle of a character is not valid UTF-8; the peer rejected the frame and ended the link.
func TestLongDetailSurvivesTheLink(t *testing.T) {
	is := is.New(t)
	for length := maxDetailBytes - 4; length < maxDetailBytes+4; length++ {
		detail := strings.Repeat("x", length) + strings.Repeat("ổ", 5) + "\xff"
		for _, outcome := range []dispatcher.Outcome{dispatcher.NewUnknown(detail), dispatcher.NewFailed(detail, nil)} {
			encoded, err := encode(DelegationAnswer{ID: 1, Job: "j", Outcome: EncodeOutcome(outcome, time.Now())})
			is.NoErr(err)
			_, _, err = decode(encoded)
			is.NoErr(err)
		}
	}
}

// Guards against a deployment of mixed versions in which links fail without a reason in the log.
func TestOtherVersionIsRefusedWithReason(t *testing.T) {
	is := is.New(t)
	node := startNode(t, "local", "a", testLimits())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+node.address()+Path, &websocket.DialOptions{Subprotocols: []string{Subprotocol}})
	is.NoErr(err)
	// The unknown field represents one that a newer version may add.
	hello := "\x82\x65hello\xa2\x67version\x04\x63new\x01"
	is.NoErr(conn.Write(ctx, websocket.MessageBinary, []byte(hello)))
	_, _, err = conn.Read(ctx) // the node's own hello
	is.NoErr(err)
	_, _, err = conn.Read(ctx)
	is.Equal(websocket.CloseStatus(err), statusVersionMismatch)
	is.True(strings.Contains(err.Error(), "version 4 is refused, this instance speaks version 3"))
}

// Guards against delivering a response to the wrong caller: one that arrives after its caller stopped waiting, answers
// another request, comes from another instance, or is repeated.
func TestAnswersReachOnlyTheirCaller(t *testing.T) {
	is := is.New(t)
	a, b, c := startNode(t, "local", "a", testLimits()), startNode(t, "local", "b", testLimits()), startNode(t, "local", "c", testLimits())
	join(t, a, b, c)
	type answer struct {
		response Response
		err      error
	}
	call := func(ctx context.Context, key string) chan answer {
		answers := make(chan answer, 2)
		go func() {
			response, err := a.Call(ctx, "b-1", Forward{Key: key})
			answers <- answer{response, err}
		}()
		return answers
	}
	lateContext, giveUp := context.WithCancel(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	late := call(lateContext, "late")
	lateID := (<-b.messages).(Forward).ID
	first := call(ctx, "first")
	firstID := (<-b.messages).(Forward).ID
	second := call(ctx, "second")
	secondID := (<-b.messages).(Forward).ID
	giveUp()
	is.Equal((<-late).err, context.Canceled)

	is.NoErr(c.Send("a-1", ForwardAnswer{ID: firstID, Key: "first", Outcome: Outcome{Detail: "other sender"}}))
	waitFor(t, "the answer of the other sender is dropped", func() bool { return a.Traffic().StrayAnswers() == 1 })
	for _, stray := range []ForwardAnswer{
		{ID: lateID, Key: "late"},
		{ID: secondID, Key: "first"},
		{ID: firstID, Key: "second"},
		{ID: secondID, Key: "second", Outcome: Outcome{Detail: "right"}},
		{ID: secondID, Key: "second", Outcome: Outcome{Detail: "again"}},
		{ID: firstID, Key: "first", Outcome: Outcome{Detail: "right"}},
	} {
		is.NoErr(b.Send("a-1", stray))
	}
	is.Equal((<-first).response, ForwardAnswer{ID: firstID, Key: "first", Outcome: Outcome{Detail: "right"}})
	is.Equal((<-second).response, ForwardAnswer{ID: secondID, Key: "second", Outcome: Outcome{Detail: "right"}})
	is.Equal(a.Traffic().StrayAnswers(), int64(5))
}

// Guards against a request that blocks forever because the connection stays open while the peer no longer responds.
func TestSilentLinkIsClosed(t *testing.T) {
	is := is.New(t)
	limits := testLimits()
	limits.IOTimeout = 200 * time.Millisecond
	silent := make(chan struct{})
	defer close(silent)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, err := websocket.Accept(writer, request, &websocket.AcceptOptions{Subprotocols: []string{Subprotocol}})
		if err == nil {
			_ = conn.Write(request.Context(), websocket.MessageBinary,
				mustEncode(Hello{Version: Version, Domain: "local", Name: "b", Incarnation: "b-1"}))
		}
		// Without a reader, pings are not answered.
		<-silent
	}))
	a := startNode(t, "local", "a", limits)
	a.SetMembers([]Peer{{Name: "b", Incarnation: "b-1", Address: server.Listener.Addr().String()}})
	waitFor(t, "the link is up", func() bool { return a.Connected("b-1") })
	_, err := a.Call(context.Background(), "b-1", Forward{Key: "k"})
	is.Equal(err, ErrLinkClosed)
}

// Guards against one system call per message under load, and against failing to send a message larger than a frame.
func TestQueuedMessagesShareFramesAndLargeOnesAreCut(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "local", "a", testLimits()), startNode(t, "local", "b", testLimits())
	join(t, a, b)
	link := a.link("b-1")
	before := a.Traffic().FramesSent()
	var queued [][]byte
	for view := range int64(100) {
		queued = append(queued, mustEncode(withdraw("k", view)))
	}
	is.NoErr(link.enqueue(queued...))
	for view := range int64(100) {
		is.Equal(<-b.messages, withdraw("k", view))
	}
	is.Equal(a.Traffic().FramesSent()-before, int64(1))

	large := Forward{Key: "k", Tasks: []Task{{Name: "t", Payload: bytes.Repeat([]byte("x"), 3*MaxFrameBytes)}}}
	is.NoErr(a.Send("b-1", large))
	is.Equal((<-b.messages).(Forward), large)
	large.Tasks[0].Payload = make([]byte, MaxMessageBytes)
	is.True(a.Send("b-1", large) != nil) // a message above the limit is not sent
}

// Messages that are queued when an instance stops must reach their receivers, or the outcome of a delegated job is lost.
func TestFlushedMessagesArriveBeforeTheEnd(t *testing.T) {
	const count = 200
	limits := testLimits()
	limits.IOTimeout = time.Minute
	a, b := startNode(t, "local", "a", limits), startNode(t, "local", "b", limits)
	join(t, a, b)
	message := Forward{Key: "k", Tasks: []Task{{Name: "t", Payload: bytes.Repeat([]byte("x"), MaxFrameBytes/2)}}}
	for range count {
		waitFor(t, "the queue has room", func() bool { return a.Send("b-1", message) == nil })
	}
	a.Flush(t.Context())
	a.Close()
	waitFor(t, "all messages have arrived", func() bool { return len(b.messages) == count })
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	a.Flush(ended) // ends without links
}

// Guards against an unbounded number of links to other failure domains, and against keeping an idle one open.
func TestRemoteLinksAreBoundedAndCloseWhenIdle(t *testing.T) {
	is := is.New(t)
	limits := testLimits()
	limits.MaxRemoteLinks, limits.IdleTimeout = 1, 100*time.Millisecond
	a, b, c := startNode(t, "here", "a", limits), startNode(t, "there", "b", limits), startNode(t, "there", "c", limits)
	for _, node := range []*node{b, c} {
		go func() {
			for message := range node.messages {
				lookup := message.(Lookup)
				_ = node.Send("a-1", LookupAnswer{ID: lookup.ID, Key: lookup.Key, State: node.self.Name})
			}
		}()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	response, err := a.CallRemote(ctx, b.address(), Lookup{Key: "k"})
	is.NoErr(err)
	is.Equal(response.(LookupAnswer).State, "b")
	// The first link may be closed for being idle at any time, which frees its place.
	if a.Connected("b-1") {
		_, err = a.CallRemote(ctx, c.address(), Lookup{Key: "k"})
		is.True(err == ErrTooManyLinks || !a.Connected("b-1"))
	}
	waitFor(t, "the idle link is closed", func() bool { return !a.Connected("b-1") })
	waitFor(t, "another link may be opened", func() bool {
		response, err = a.CallRemote(ctx, c.address(), Lookup{Key: "k"})
		return err == nil
	})
	is.Equal(response.(LookupAnswer).State, "c")
	close(b.messages)
	close(c.messages)
}

// Guards against not restoring a lost link to a member, and against keeping a link to an instance that left.
func TestMemberLinkIsRestoredAndDropped(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "local", "a", testLimits()), startNode(t, "local", "b", testLimits())
	join(t, a, b)
	lost := a.link("b-1")
	_ = lost.conn.CloseNow()
	<-lost.done
	waitFor(t, "the link is restored", func() bool { return a.Send("b-1", withdraw("k", 1)) == nil })
	is.Equal(<-b.messages, withdraw("k", 1))
	a.SetMembers(nil)
	b.SetMembers(nil)
	waitFor(t, "the link is dropped", func() bool { return !a.Connected("b-1") && !b.Connected("a-1") })
}

// Guards against running jobs for an instance that can no longer pass their answers to its callers: both sides are
// notified when a link ends.
func TestEndOfLinkIsReported(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "local", "a", testLimits()), startNode(t, "local", "b", testLimits())
	join(t, a, b)
	is.Equal(b.ended.Load(), int64(0))
	a.Close()
	waitFor(t, "both sides are notified", func() bool { return a.ended.Load() > 0 && b.ended.Load() > 0 })
}

// Weights come from other instances; an invalid one must neither take all work nor stop its distribution.
func TestInvalidWeightsCountAsOne(t *testing.T) {
	is := is.New(t)
	for _, weight := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1), 1e9} {
		is.Equal((&Hello{Weight: weight}).EffectiveWeight(), 1.0)
	}
	is.Equal((&Hello{Weight: 0.144}).EffectiveWeight(), 0.144)
}

// Members are settled once each of them is linked, is known to be absent, or had the time to connect.
func TestMembersSettle(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "local", "a", testLimits()), startNode(t, "local", "b", testLimits())
	join(t, a, b)
	unknown := newLinker(Hello{Domain: "local", Name: "c", Incarnation: "c-1"}, DefaultLimits(), hclog.NewNullLogger(), func(Hello, Message) {})
	t.Cleanup(unknown.Close)
	is.True(!unknown.MembersSettled(time.Hour)) // nothing is known of the members
	unknown.SetMembers(nil)
	is.True(unknown.MembersSettled(time.Hour))
	is.True(a.MembersSettled(time.Hour))
	is.True(a.AllLinked())
	refused := closedAddress(t)
	a.SetMembers([]Peer{
		{Name: "b", Incarnation: b.self.Incarnation, Address: b.address()},
		{Name: "killed", Incarnation: "killed-1", Address: refused},
		{Name: "b", Incarnation: "b-former", Address: b.address()},
	})
	waitFor(t, "the refused and the former incarnation are absent", func() bool { return a.MembersSettled(time.Hour) })
	is.True(a.AllLinked())
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = silent.Close() })
	a.SetMembers([]Peer{{Name: "silent", Incarnation: "silent-1", Address: silent.Addr().String()}})
	is.True(!a.MembersSettled(time.Hour))
	is.True(a.MembersSettled(0))
	is.True(!a.AllLinked()) // it may be running
}

// closedAddress returns an address at which connections are refused.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	return listener.Addr().String()
}

// A link that had ended was found again until its end was reported, which takes a lock of the receiver: the goroutine that maintains
// the link took all processor time that the instance had meanwhile.
func TestEndedLinkIsNotFound(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "local", "a", testLimits()), startNode(t, "local", "b", testLimits())
	found := make(chan bool, 10)
	a.receive = func(from Hello, message Message) {
		if _, ended := message.(LinkEnded); ended {
			found <- a.Connected(from.Incarnation)
		}
	}
	join(t, a, b)
	b.Close()
	is.True(!<-found)
}
