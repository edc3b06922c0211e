package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The claim of a start that was decided after the last broadcast of its instance may be under way, although that broadcast is
// recent. The end that is announced without it is too early.
func TestLeaseEndIsNotAnnouncedWhileAClaimIsUnderWay(t *testing.T) {
	is := is.New(t)
	reader := newTestScheduler(1)
	reader.SetPeers(Peers{Starting: []string{"a", "b"}})
	reader.RecordLeaseRenewal("t0", at(0))
	reader.HandlePeerClaim("a", Claim{Target: "t0", Run: Run{"j.0.0.0", 1}, Resources: Resources{MilliCores: 1000}}, at(0))
	reader.MarkUnreachable("t0", false, at(500))
	reader.RecordBroadcast("a", at(501+contactMS))
	reader.RecordBroadcast("b", at(600))
	// At 740, b has heard the reader's broadcast of 499 last, starts a run, and is paused before it has sent the claim.
	now := 501 + contactMS
	reader.Sweep(at(now))
	for _, action := range reader.TakeActions() {
		if announced, ok := action.(AnnounceLeaseEnd); ok {
			is.True(!announced.End.Before(at(740).Add(LeaseDuration))) // the announced end is before that of the lease
		}
	}
}

// The same, where the paused instance counts as lost by the time of the announcement.
func TestLeaseEndIsNotAnnouncedWithoutTheClaimsOfALostInstance(t *testing.T) {
	is := is.New(t)
	reader := newTestScheduler(1)
	reader.SetPeers(Peers{Starting: []string{"a", "b"}})
	reader.RecordLeaseRenewal("t0", at(0))
	reader.HandlePeerClaim("a", Claim{Target: "t0", Run: Run{"j.0.0.0", 1}, Resources: Resources{MilliCores: 1000}}, at(0))
	reader.MarkUnreachable("t0", false, at(500))
	reader.RecordBroadcast("b", at(490))
	// At 600, b starts a run, and is paused before it has sent the claim; at 1000 it counts as lost.
	for now := 600; now <= 1010; now += 100 {
		reader.RecordBroadcast("a", at(now))
		if now >= 1000 {
			reader.RemovePeer("b")
			reader.SetPeers(Peers{Starting: []string{"a"}})
		}
		reader.Sweep(at(now))
		for _, action := range reader.TakeActions() {
			if announced, ok := action.(AnnounceLeaseEnd); ok {
				is.True(!announced.End.Before(at(600).Add(LeaseDuration))) // the announced end is before that of the lease
			}
		}
	}
}

// A reader that also owns a run must count the claims that are under way in the same way.
func TestReaderDoesNotRestartItsRunWhileAClaimIsUnderWay(t *testing.T) {
	is := is.New(t)
	reader := newTestScheduler(2)
	reader.SetPeers(Peers{Starting: []string{"b"}})
	reader.RecordBroadcast("b", at(0))
	start := startOne(reader, testJob("j", 1, 1500, 0))
	reader.MarkUnreachable(start.Target, false, at(700))
	reader.RecordBroadcast("b", at(830))
	// At 940, b has not heard of that, starts a run and is paused before it has sent the claim: the lease ends at 1940.
	for now := 835; now < 1940; now += 5 {
		reader.Tick(at(now))
		is.Equal(len(drain(reader).starts), 0) // started again at a time at which the first run goes on
	}
}

// A target that this instance reads again and cannot reach must be reported as such again: another reader has reported
// meanwhile that it responds.
func TestUnreachableTargetIsReportedAgainByItsNextReader(t *testing.T) {
	is := is.New(t)
	reader := newTestScheduler(1)
	reader.MarkUnreachable("t0", false, at(0))
	is.Equal(reader.DueReports(at(0)), []CapacityReport{{Target: "t0", Unreachable: true}})
	reader.SetReader("t0", false, at(100))
	reader.HandlePeerReport(CapacityReport{Target: "t0", Reporter: "other", FreeCapacity: testTarget(0).Capacity}, at(200))
	readIdle(reader, "t0", 1000)
	reader.MarkUnreachable("t0", false, at(1500))
	is.Equal(reader.DueReports(at(1500)), []CapacityReport{{Target: "t0", Unreachable: true}})
}

// The start of a run whose end is known before its claim has renewed the lease of the other runs all the same.
func TestClaimOfAnEndedRunCountsAsRenewal(t *testing.T) {
	is := is.New(t)
	reader := newTestScheduler(1)
	reader.RecordLeaseRenewal("t0", at(0))
	run := Run{"p.0.0.0", 1}
	reader.HandleEnd("t0", End{Seq: 1, Run: run, Cause: Done, Incarnation: 1}, at(290))
	_, ended := reader.HandlePeerClaim("peer", Claim{Target: "t0", Run: run, Incarnation: 1, Age: 20 * time.Millisecond}, at(291))
	is.True(ended)
	is.True(!reader.targets["t0"].leaseEnd.Before(at(271).Add(LeaseDuration)))
}

// A target whose runs the reader has not listed must not get work: it may run something that no instance owns, whose lease
// the start renews.
func TestNothingStartsBeforeTheReaderHasListedTheRuns(t *testing.T) {
	is := is.New(t)
	reader := New("self", "a")
	reader.SetTargets(testTargets(1), at(0))
	reader.SetReader("t0", true, at(0))
	now := int(orphanGrace/time.Millisecond) + 1 // an instance polls idle targets from a second after its start on
	reader.Submit(testJob("j", 1, 900, now), at(now))
	is.Equal(len(drain(reader).starts), 0)
}

// An instance that was paused must not renew the lease for its own run by a poll either: another instance may have become the
// reader and have reported that it cannot reach the target.
func TestPausedReaderRenewsNothingUntilItHearsOthers(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.SetPeers(Peers{Starting: []string{"a"}})
	scheduler.RecordBroadcast("a", at(0))
	startOne(scheduler, testJob("j", 1, 2500, 0))
	state := scheduler.TargetState("t0")
	is.True(state.MayRenew(at(100)))
	scheduler.RecordPause(at(2000))
	state = scheduler.TargetState("t0")
	is.True(!state.MayRenew(at(2000)))
}

// A claim that was held up while this instance was paused says nothing about its owner now. Neither a poll nor a start may renew
// the lease for it: the caller of a lost owner sends the job again. (Simulation of starved instances, pauses and kills, seed 9044.)
func TestHeldUpClaimRenewsNoLease(t *testing.T) {
	is := is.New(t)
	reader := newTestScheduler(1)
	reader.SetPeers(Peers{Starting: []string{"owner", "other"}})
	claim := Claim{Target: "t0", Run: Run{"j.0.0.0", 1}, Resources: Resources{MilliCores: 1000}, Incarnation: 1}
	reader.RecordBroadcast("owner", at(0))
	reader.HandlePeerClaim("owner", claim, at(0))
	reader.HandlePoll("t0", PollResult{Incarnation: 1, Running: []ActiveRun{{Run: claim.Run}}, Sent: at(1), Answered: at(2)})
	// This instance is paused from 100 to 1300. The owner repeats the claim at 250 and is killed.
	reader.RecordPause(at(1300))
	reader.RecordBroadcast("other", at(1300))
	reader.RecordBroadcast("owner", at(240))
	claim.Age = 1300 * time.Millisecond
	reader.HandlePeerClaim("owner", claim, at(1300))
	state := reader.TargetState("t0")
	is.True(!state.MayRenew(at(1301)))
	reader.Submit(testJob("k", 1, 900, 1301), at(1301))
	is.Equal(len(drain(reader).starts), 0)
}
