package gossiper

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// recorder is a Receiver that records the lost peers, the last evidence, the peers that respond again and the delays of delegations.
type recorder struct {
	lost       []string
	evidence   *LossEvidence
	responding []string
	// delays holds the delays of delegations.
	delays []time.Duration
}

func (*recorder) HandleStateUpdate(string, linker.StateUpdate) {}
func (recorder *recorder) PeerLost(from string, evidence *LossEvidence) {
	recorder.lost, recorder.evidence = append(recorder.lost, from), evidence
}

func (recorder *recorder) PeerResponds(from string, _ time.Duration) {
	recorder.responding = append(recorder.responding, from)
}

func (recorder *recorder) HandleDelegation(_ string, _ linker.Delegation, delay time.Duration) {
	recorder.delays = append(recorder.delays, delay)
}
func (*recorder) LinkEnded(string)     {}
func (*recorder) PeerConnected(string) {}

// newTestGossiper returns a gossiper without goroutines; its clock is set through the returned pointer.
func newTestGossiper(weight float64) (*Gossiper, *recorder, *time.Time) {
	now := time.Unix(1_000_000, 0)
	receiver := &recorder{}
	return &Gossiper{
		self: linker.Hello{Domain: "a", Incarnation: "self", Weight: weight}, receiver: receiver, now: func() time.Time { return now }, readUntil: func() time.Time { return now },
		wake: make(chan struct{}, 1), changed: make(chan struct{}, 1), outbox: make(map[string]*linker.StateUpdate), peers: make(map[string]*peer), checkedAt: now,
		reports: make(map[string]scheduler.CapacityReport), remoteReports: make(map[string]scheduler.CapacityReport),
		reachabilityReports: make(map[string]scheduler.CapacityReport), unreachable: make(map[string]bool),
	}, receiver, &now
}

func (gossiper *Gossiper) contact(incarnation string, weight float64) {
	hello := linker.Hello{Domain: "a", Incarnation: incarnation, Weight: weight}
	gossiper.Receive(hello, hello)
}

// An instance must delegate only while larger ones are alive and not leaving, and delegating instances must not be
// eligible as readers or delegates.
func TestRolesFollowTheInstances(t *testing.T) {
	is := is.New(t)
	gossiper, _, now := newTestGossiper(0.144)
	is.True(!gossiper.Delegating())
	gossiper.contact("small", 0.144)
	is.True(!gossiper.Delegating())
	is.Equal(len(gossiper.EligiblePeers()), 1)
	gossiper.contact("large", 0.8)
	is.True(gossiper.Delegating())
	eligible := gossiper.EligiblePeers()
	is.Equal(len(eligible), 1)
	is.Equal(eligible[0].Incarnation, "large")
	gossiper.Receive(linker.Hello{Domain: "a", Incarnation: "large", Weight: 0.8}, linker.StateUpdate{Waiting: []int64{0}, Leaving: true})
	is.True(!gossiper.Delegating()) // the only larger instance is leaving
	gossiper.contact("next", 0.8)
	is.True(gossiper.Delegating())
	*now = now.Add(PeerTimeout / 2)
	gossiper.detectLostPeers()
	*now = now.Add(PeerTimeout)
	gossiper.checkedAt = *now
	gossiper.detectLostPeers()
	is.True(!gossiper.Delegating()) // the larger instance is lost
}

// broadcastReceivers returns which instances get reports, and which only heartbeats, in the broadcasts that are due.
func (gossiper *Gossiper) broadcastReceivers() (reports, heartbeats []string) {
	gossiper.Report(scheduler.CapacityReport{Target: "t"})
	for _, broadcast := range gossiper.plan(gossiper.now()).broadcasts {
		if len(broadcast.update.FreeCapacity) > 0 {
			reports = append(reports, broadcast.to...)
		} else {
			heartbeats = append(heartbeats, broadcast.to...)
		}
	}
	return reports, heartbeats
}

// Reports must not be broadcast to all instances: a delegating instance needs only a few heartbeats a second, and two
// delegating instances need nothing from each other.
func TestReceiversOfBroadcasts(t *testing.T) {
	is := is.New(t)
	large, _, now := newTestGossiper(0.8)
	large.contact("small", 0.144)
	large.contact("equal", 0.8)
	reports, heartbeats := large.broadcastReceivers()
	is.Equal(reports, []string{"equal"})
	is.Equal(heartbeats, []string{"small"})
	reports, heartbeats = large.broadcastReceivers()
	is.Equal(len(reports), 1)
	is.Equal(len(heartbeats), 0) // not due
	large.Leave()
	_, heartbeats = large.broadcastReceivers()
	is.Equal(len(heartbeats), 1) // a planned stop is announced at once
	*now = now.Add(heartbeatInterval)
	_, heartbeats = large.broadcastReceivers()
	is.Equal(len(heartbeats), 1)

	small, _, _ := newTestGossiper(0.144)
	small.contact("small", 0.144)
	small.contact("large", 0.8)
	reports, heartbeats = small.broadcastReceivers()
	is.Equal(reports, []string{"large"})
	is.Equal(len(heartbeats), 0)
}

// In a deployment of hundreds of instances, each exchanged heartbeats with all others, which took most of its processor
// time and link. A delegating instance and a larger one of another failure domain must exchange them only while one runs
// a job for the other, and must then detect each other's loss, but not a loss that happened before.
func TestContactAcrossDomainsOnlyForSharedJobs(t *testing.T) {
	is := is.New(t)
	large, receiver, now := newTestGossiper(0.8)
	large.contact("local", 0.8)
	small := linker.Hello{Domain: "b", Incarnation: "small", Weight: 0.144}
	large.Receive(small, small)
	_, heartbeats := large.broadcastReceivers()
	is.Equal(len(heartbeats), 0)
	is.Equal(len(large.UnresponsiveDomains(time.Second)), 1) // nothing is expected from the other domain
	*now = now.Add(10 * PeerTimeout)
	large.contact("local", 0.8)
	large.Receive(small, linker.Delegation{Job: "j"})
	large.checkedAt = *now
	large.detectLostPeers()
	is.Equal(len(receiver.lost), 0)
	_, heartbeats = large.broadcastReceivers()
	is.Equal(heartbeats, []string{"small"})
	*now = now.Add(PeerTimeout + time.Millisecond)
	large.contact("local", 0.8)
	large.checkedAt = *now
	large.detectLostPeers()
	is.Equal(receiver.lost, []string{"small"}) // it is silent while this instance runs its job
	large.Receive(small, small)
	_ = large.AnswerDelegation("small", linker.DelegationAnswer{Job: "j"})
	*now = now.Add(heartbeatInterval)
	_, heartbeats = large.broadcastReceivers()
	is.Equal(len(heartbeats), 0)
	large.Leave()
	_, heartbeats = large.broadcastReceivers()
	is.Equal(heartbeats, []string{"small"}) // it must not become the delegate of an instance that stops
}

// When a delegating instance must run its own jobs, it needs all others. They must not count as lost because nothing was
// expected from them before.
func TestNewContactIsNotLost(t *testing.T) {
	is := is.New(t)
	small, receiver, now := newTestGossiper(0.144)
	small.contact("large", 0.8)
	remote := linker.Hello{Domain: "b", Incarnation: "remote", Weight: 0.8}
	small.Receive(remote, remote)
	is.True(small.Delegating())
	*now = now.Add(10 * PeerTimeout)
	small.contact("large", 0.8)
	small.SetDemand(scheduler.Demand{}, true)
	small.checkedAt = *now
	small.detectLostPeers()
	is.Equal(len(receiver.lost), 0)
	reports, _ := small.broadcastReceivers()
	slices.Sort(reports)
	is.Equal(reports, []string{"large", "remote"})
	small.SetDemand(scheduler.Demand{}, false)
	*now = now.Add(heartbeatInterval)
	reports, _ = small.broadcastReceivers()
	is.Equal(len(reports), 2) // the end of its own jobs is announced to all
	*now = now.Add(busyAnnouncementPeriod)
	reports, _ = small.broadcastReceivers()
	is.Equal(reports, []string{"large"})
}

// An instance with a small processor share or link must spend no more of it on reports than a large one.
func TestSmallInstancesReportLessOften(t *testing.T) {
	is := is.New(t)
	pause := func(weight float64) time.Duration {
		gossiper, _, now := newTestGossiper(weight)
		for _, name := range []string{"a", "b", "c", "d"} {
			gossiper.contact(name, weight)
		}
		return gossiper.plan(*now).pause
	}
	is.Equal(pause(0.8), 4*broadcastIntervalPerPeer)
	is.Equal(pause(0.4), 4*broadcastIntervalPerPeer)
	is.Equal(pause(0.1), 16*broadcastIntervalPerPeer)
}

// Other failure domains must receive reports less often than the own one, but must neither miss a report nor get so few
// messages that they consider the sender lost.
func TestOtherDomainsReceiveReportsLessOften(t *testing.T) {
	is := is.New(t)
	gossiper, _, now := newTestGossiper(0.4)
	gossiper.contact("local", 0.4)
	remote := linker.Hello{Domain: "b", Incarnation: "remote", Weight: 0.4}
	gossiper.Receive(remote, remote)
	counts := make(map[string]int)
	pause := gossiper.plan(*now).pause
	for range 30 {
		*now = now.Add(pause)
		gossiper.Report(scheduler.CapacityReport{Target: "t"})
		for _, broadcast := range gossiper.plan(*now).broadcasts {
			for _, to := range broadcast.to {
				counts[to] += len(broadcast.update.FreeCapacity)
			}
		}
	}
	is.Equal(counts["local"], 30)
	is.True(counts["remote"] >= 10 && counts["remote"] <= 16)
	gossiper.Report(scheduler.CapacityReport{Target: "t"})
	gossiper.remoteSentAt = now.Add(-time.Millisecond)
	gossiper.heartbeatSentAt = *now
	is.Equal(len(gossiper.plan(*now).broadcasts), 1)
	*now = now.Add(heartbeatInterval)
	is.Equal(len(gossiper.plan(*now).broadcasts), 2) // includes the report that has not been sent there yet
}

// A delegating instance with runs of its own must still receive reports. Without reports of renewed leases it would
// consider its runs lost, as after a power loss in the load test Thang Long grown trouble-1 with 37
// instances.
func TestBusyInstanceReceivesReports(t *testing.T) {
	is := is.New(t)
	large, _, _ := newTestGossiper(0.8)
	large.contact("small", 0.144)
	reports, _ := large.broadcastReceivers()
	is.Equal(len(reports), 0)
	large.Receive(linker.Hello{Domain: "a", Incarnation: "small", Weight: 0.144}, linker.StateUpdate{Waiting: []int64{0}, Busy: true})
	reports, heartbeats := large.broadcastReceivers()
	is.Equal(reports, []string{"small"})
	is.Equal(len(heartbeats), 0)
	large.Receive(linker.Hello{Domain: "a", Incarnation: "small", Weight: 0.144}, linker.StateUpdate{Waiting: []int64{0}})
	reports, _ = large.broadcastReceivers()
	is.Equal(len(reports), 0)
}

// A pause of this process must not make its peers count as lost, and a peer that stops sending must be detected.
func TestLostPeersAreDetected(t *testing.T) {
	is := is.New(t)
	gossiper, receiver, now := newTestGossiper(0.4)
	gossiper.contact("peer", 0.4)
	*now = now.Add(10 * time.Second)
	gossiper.detectLostPeers() // this process was paused
	is.Equal(len(receiver.lost), 0)
	is.True(gossiper.Alive("peer"))
	for range 5 {
		*now = now.Add(heartbeatInterval)
		gossiper.detectLostPeers()
	}
	is.Equal(receiver.lost, []string{"peer"})
	is.True(!gossiper.Alive("peer"))
	gossiper.contact("peer", 0.4)
	is.True(gossiper.Alive("peer"))
}

// An instance that was lost during a pause of this process must be noticed soon after it: the callers of the lost one send
// their jobs again meanwhile.
func TestLossDuringAPauseIsNoticedSoonAfterIt(t *testing.T) {
	is := is.New(t)
	gossiper, receiver, now := newTestGossiper(1)
	gossiper.contact("lost", 1)
	gossiper.contact("live", 1)
	*now = now.Add(2 * PeerTimeout)
	gossiper.detectLostPeers()
	is.Equal(len(receiver.lost), 0)
	gossiper.contact("live", 1)
	*now = now.Add(resumeTimeout)
	gossiper.detectLostPeers()
	is.Equal(len(receiver.lost), 0)
	*now = now.Add(time.Millisecond)
	gossiper.detectLostPeers()
	is.Equal(receiver.lost, []string{"lost"})
}

// A delegated job that waited in a buffer while this process was paused must be recognized, whatever the clocks show and
// however long the pause was: its origin has given it up meanwhile, and its caller has sent it again.
func TestDelayOfDelegations(t *testing.T) {
	for _, pause := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second, time.Minute} {
		is := is.New(t)
		gossiper, receiver, now := newTestGossiper(0.8)
		hello := linker.Hello{Domain: "a", Incarnation: "small", Weight: 0.144}
		const clockOffset = 5 * time.Hour
		heartbeat := func(sent time.Time) {
			gossiper.Receive(hello, linker.StateUpdate{Waiting: []int64{0}, SentUS: sent.Add(clockOffset).UnixMicro()})
		}
		gossiper.Receive(hello, hello)
		for range 40 {
			*now = now.Add(heartbeatInterval)
			heartbeat(now.Add(-3 * time.Millisecond))
		}
		sent := now.Add(-3 * time.Millisecond)
		buffered := []time.Time{sent, sent.Add(time.Millisecond)}
		*now = now.Add(pause)
		for _, at := range buffered {
			heartbeat(at)
		}
		gossiper.Receive(hello, linker.Delegation{Job: "j", SentUS: sent.Add(clockOffset).UnixMicro()})
		is.Equal(len(receiver.delays), 1)
		is.True(receiver.delays[0] >= pause && receiver.delays[0] <= pause+time.Millisecond)
	}
}

// An instance of an earlier revision refuses messages with unknown fields and would close the link.
func TestEarlierRevisionsReceiveNoNewFields(t *testing.T) {
	is := is.New(t)
	gossiper, _, now := newTestGossiper(1)
	for incarnation, revision := range map[string]int{"former": 0, "present": linker.Revision} {
		hello := linker.Hello{Domain: "a", Incarnation: incarnation, Weight: 1, Revision: revision}
		gossiper.Receive(hello, hello)
	}
	gossiper.BroadcastSuspension(scheduler.Suspension{Target: "t", Until: now.Add(time.Second)})
	is.Equal(len(gossiper.outbox), 1)
	is.Equal(gossiper.outbox["present"].Suspensions[0].RemainingMS, int64(1000))
	gossiper.QueryOwner("former", scheduler.OwnedRun{Target: "t"})
	gossiper.SendSuspension("former", scheduler.Suspension{Target: "t"})
	is.Equal(len(gossiper.outbox), 1)
	end := scheduler.End{Seq: 7, Run: scheduler.Run{Task: "j.0.0.0", Attempt: 1}, Cause: scheduler.Done, Incarnation: 2, Age: 3 * time.Millisecond}
	gossiper.SendRunEnd("former", "t", end)
	gossiper.SendRunEnd("present", "t", end)
	is.Equal(len(gossiper.outbox["former"].EndOrigins), 0)
	is.Equal(gossiper.outbox["present"].EndOrigins, []linker.EndOrigin{{Incarnation: 2, AgeMS: 3}})
	claim := scheduler.Claim{Target: "t", Run: end.Run}
	is.True(!gossiper.Reserve("former", claim))
	is.True(!gossiper.Reserve("unknown", claim))
	is.True(gossiper.Reserve("present", claim))
	is.Equal(len(gossiper.outbox["former"].Reservations), 0)
	is.Equal(len(gossiper.outbox["present"].Reservations), 1)
}

// An instance that starts while others run must not read targets in its first second, in which it is blind; instances that
// start together must.
func TestJoiningInstancesAreNotEligible(t *testing.T) {
	is := is.New(t)
	gossiper, _, now := newTestGossiper(1)
	gossiper.startedAt = now.Add(-400 * time.Millisecond)
	receive := func(incarnation string, uptime time.Duration) {
		hello := linker.Hello{Domain: "a", Incarnation: incarnation, Weight: 1, UptimeMS: uptime.Milliseconds()}
		gossiper.Receive(hello, hello)
	}
	receive("together", 10*time.Millisecond)
	is.Equal(len(gossiper.EligiblePeers()), 1)
	is.True(!gossiper.Joining())
	receive("running", time.Minute)
	is.True(gossiper.Joining())
	is.Equal(len(gossiper.EligiblePeers()), 1)
	is.Equal(gossiper.EligiblePeers()[0].Incarnation, "running")
	advance := func(period time.Duration) {
		for ; period > 0; period -= heartbeatInterval {
			*now = now.Add(min(period, heartbeatInterval))
			receive("running", time.Minute)
			receive("together", 0)
			gossiper.detectLostPeers()
		}
	}
	advance(joiningPeriod - 401*time.Millisecond)
	is.True(gossiper.Joining())
	version := gossiper.PeersVersion()
	advance(400 * time.Millisecond)            // the one that was started with it has joined too
	is.True(gossiper.PeersVersion() > version) // the readers are assigned again
	is.True(!gossiper.Joining())
	is.Equal(len(gossiper.EligiblePeers()), 2)
}

// Instances of an earlier revision do not state when they started; they count as running.
func TestEarlierRevisionsAreEligible(t *testing.T) {
	is := is.New(t)
	gossiper, _, now := newTestGossiper(1)
	gossiper.startedAt = now.Add(-time.Minute)
	gossiper.contact("former", 1)
	is.Equal(len(gossiper.EligiblePeers()), 1)
}

// Instances that delegate their jobs come and go by dozens in an upgrade of a large deployment; all readers were assigned anew on all
// instances each time.
func TestReadersStayWhenDelegatingInstancesChange(t *testing.T) {
	is := is.New(t)
	gossiper, recorder, now := newTestGossiper(0.8)
	for _, large := range []string{"l1", "l2", "l3"} {
		gossiper.contact(large, 0.8)
	}
	gossiper.contact("s1", 0.1)
	version := gossiper.PeersVersion()
	gossiper.contact("s2", 0.1)
	pass := func(large ...string) {
		for range 2 * PeerTimeout / heartbeatInterval {
			*now = now.Add(heartbeatInterval)
			for _, incarnation := range large {
				gossiper.contact(incarnation, 0.8)
			}
			gossiper.detectLostPeers()
		}
	}
	pass("l1", "l2", "l3")
	slices.Sort(recorder.lost)
	is.Equal(recorder.lost, []string{"s1", "s2"})
	is.Equal(len(gossiper.EligiblePeers()), 3)
	is.Equal(gossiper.PeersVersion(), version)
	pass("l1", "l2")
	is.Equal(len(gossiper.EligiblePeers()), 2)
	is.True(gossiper.PeersVersion() > version)
}

// The log must tell why an instance counts as lost, and that one that counted as lost was running.
func TestLossIsExplained(t *testing.T) {
	is := is.New(t)
	gossiper, recorder, now := newTestGossiper(0.4)
	gossiper.contact("peer", 0.4)
	*now = now.Add(100 * time.Millisecond)
	gossiper.Receive(linker.Hello{Incarnation: "peer"}, linker.LinkEnded{Cause: "connection reset"})
	for range 4 {
		*now = now.Add(150 * time.Millisecond)
		gossiper.detectLostPeers()
	}
	is.Equal(recorder.lost, []string{"peer"})
	is.Equal(recorder.evidence.Link(), LinkGone)
	is.True(!recorder.evidence.PeerLeaving())
	fields := recorder.evidence.Fields()
	for _, expected := range []struct {
		key   string
		value any
	}{
		{"silent-ms", int64(550)},
		{"handled-ms", int64(550)},
		{"checked-ms", int64(150)},
		{"ended-ms", int64(450)},
		{"error", "connection reset"},
		{"in-contact", true},
	} {
		i := slices.Index(fields, any(expected.key))
		is.True(i >= 0)
		is.Equal(fields[i+1], expected.value) // the field's value
	}
	is.Equal(len(recorder.responding), 0)
	gossiper.contact("peer", 0.4)
	is.Equal(recorder.responding, []string{"peer"})
}
