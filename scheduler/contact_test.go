package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var contactMS = int(ContactTimeout / time.Millisecond)

// A start renews the lease of all runs on a target. An instance that does not know what the target's reader has broadcast
// lately must not start anything there.
func TestNothingStartsOutOfContactWithTheReader(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(1), at(0))
	scheduler.AttachReader("t0", "reader", at(0))
	scheduler.HandlePeerReport(CapacityReport{Target: "t0", Reporter: "reader", FreeCapacity: testTarget(0).Capacity}, at(0))
	scheduler.Submit(testJob("j", 1, 900, 0), at(0))
	is.Equal(len(drain(scheduler).starts), 0) // nothing is known of the reader yet
	scheduler.RecordBroadcast("other", at(1))
	scheduler.Tick(at(2))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.RecordBroadcast("reader", at(1))
	scheduler.Tick(at(2 + contactMS))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.Tick(at(1 + contactMS))
	starts := drain(scheduler).starts
	is.Equal(len(starts), 1)
	acceptStarts(scheduler, starts, at(2+contactMS))
	state := scheduler.TargetState("t0")
	is.True(!state.MayRenew(at(3))) // the reader would not know of a renewal by a poll
	scheduler.AttachReader("t0", "", at(4))
	state = scheduler.TargetState("t0")
	is.True(state.MayRenew(at(5)))
}

// Another instance may have become the reader while this one was paused. What it starts right afterwards renews leases that
// others hold for over.
func TestPausedReaderStartsNothingUntilItHearsOthers(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.SetPeers(Peers{Starting: []string{"a", "b"}})
	scheduler.RecordBroadcast("a", at(0))
	scheduler.Submit(testJob("j", 1, 900, 1500), at(1500)) // before any tick notices the pause
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.RecordBroadcast("b", at(1200)) // sent during the pause
	scheduler.Tick(at(1501))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.RecordBroadcast("b", at(1500))
	scheduler.Tick(at(1502))
	is.Equal(len(drain(scheduler).starts), 1)
}

// The owners of runs must learn when the lease of a lost target ends, but not before the claims of all starts have arrived
// at its reader.
func TestReaderAnnouncesTheEndOfTheLease(t *testing.T) {
	is := is.New(t)
	reader := newTestScheduler(1)
	reader.SetPeers(Peers{Starting: []string{"a", "b"}})
	claim := func(owner, task string, now int) {
		reader.HandlePeerClaim(owner, Claim{Target: "t0", Run: Run{task, 1}, Resources: Resources{MilliCores: 1000}}, at(now))
	}
	announced := func(now int) []AnnounceLeaseEnd {
		reader.Sweep(at(now))
		var announcements []AnnounceLeaseEnd
		for _, action := range reader.TakeActions() {
			if action, ok := action.(AnnounceLeaseEnd); ok {
				announcements = append(announcements, action)
			}
		}
		return announcements
	}
	claim("b", "k.0.0.0", 0)
	claim("a", "j.0.0.0", 10)
	reader.MarkUnreachable("t0", false, at(100))
	reader.RecordBroadcast("a", at(101+contactMS))
	is.Equal(len(announced(100+contactMS)), 0) // others may still start runs there
	is.Equal(len(announced(110+contactMS)), 0) // a start of b may be unknown
	claim("b", "l.0.0.0", 80+contactMS)
	reader.RecordBroadcast("b", at(101+contactMS))
	announcements := announced(120 + contactMS)
	is.Equal(len(announcements), 1)
	is.Equal(announcements[0].To, []string{"a", "b"})
	is.Equal(announcements[0].End, at(80+contactMS).Add(LeaseDuration+leaseMargin))
	is.Equal(len(announced(130+contactMS)), 0) // once
}

// The reader of a target must not start its own run again while the claim of a start elsewhere may be under way.
func TestReaderWaitsForClaimsBeforeALeaseIsOver(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	scheduler.SetPeers(Peers{Starting: []string{"a"}})
	scheduler.RecordBroadcast("a", at(0))
	start := startOne(scheduler, testJob("j", 1, 900, 0))
	scheduler.MarkUnreachable(start.Target, false, at(500))
	end := 2 + int((LeaseDuration+leaseMargin)/time.Millisecond)
	scheduler.RecordBroadcast("a", at(end-contactMS-1))
	scheduler.Tick(at(end))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.RecordBroadcast("a", at(end))
	scheduler.Tick(at(end + 1))
	is.Equal(len(drain(scheduler).starts), 1)
}

// A run that no live instance owns must lapse even if it cannot be stopped before its caller sends the job again. New work beside
// it would renew its lease.
func TestNoWorkIsAdmittedBesideUnownedRuns(t *testing.T) {
	is := is.New(t)
	reader := New("self", "a")
	reader.SetTargets(testTargets(1), at(0))
	reader.SetReader("t0", true, at(0))
	free := func(now int) int64 {
		reader.changedTargets["t0"] = true
		reports := reader.DueReports(at(now))
		if len(reports) == 0 {
			return reader.targets["t0"].lastReport.FreeCapacity.MilliCores
		}
		return reports[0].FreeCapacity.MilliCores
	}
	run := Run{"j.0.0.0", 1}
	poll := func(now int) {
		reader.HandlePoll("t0", PollResult{Incarnation: 1, Running: []ActiveRun{{Run: run, MilliCores: 1000}}, Sent: at(now), Answered: at(now)})
	}
	is.Equal(free(1), int64(0)) // not listed yet
	poll(2)
	is.Equal(free(3), int64(0)) // the owner may be lost
	reader.Submit(testJob("k", 1, 100, 3), at(3))
	is.Equal(len(drain(reader).starts), 0)
	reader.HandlePeerClaim("owner", Claim{Target: "t0", Run: run, Resources: Resources{MilliCores: 1000}}, at(20))
	is.True(free(21) > 0)
	reader.Tick(at(22))
	is.Equal(len(drain(reader).starts), 1)
	reader.RemovePeer("owner")
	is.Equal(free(700), int64(0))
	reader.HandleEnd("t0", End{Seq: 1, Run: run, Cause: Stopped}, at(710))
	is.True(free(711) > 0)
}

// The reader of a target that has just been claimed must not withhold its capacity for the time in which the claim is under way.
func TestClaimUnderWayWithholdsNoCapacity(t *testing.T) {
	is := is.New(t)
	reader := newTestScheduler(1)
	reader.HandlePoll("t0", PollResult{Incarnation: 1, Running: []ActiveRun{{Run: Run{"j.0.0.0", 1}, MilliCores: 1000}}, Sent: at(0), Answered: at(0)})
	is.True(!reader.targets["t0"].withholdsCapacity(at(40)))
	is.True(reader.targets["t0"].withholdsCapacity(at(60)))
}

// When a reader is lost, nothing must renew the leases on its targets before the next one knows which runs have lost their owner.
func TestNothingStartsBeforeTheNextReaderReports(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(1), at(0))
	report := func(from string, now int) {
		scheduler.RecordBroadcast(from, at(now))
		scheduler.HandlePeerReport(CapacityReport{Target: "t0", Reporter: from, FreeCapacity: testTarget(0).Capacity}, at(now))
	}
	starts := func(job string, now int) int {
		scheduler.Submit(testJob(job, 1, 900, now), at(now))
		return len(drain(scheduler).starts)
	}
	scheduler.AttachReader("t0", "first", at(0))
	scheduler.RecordBroadcast("first", at(0))
	is.Equal(starts("a", 1), 0) // nor before the first reader that is known has reported
	report("first", 2)
	scheduler.Tick(at(3))
	is.Equal(len(drain(scheduler).starts), 1)
	scheduler.AttachReader("t0", "second", at(100))
	scheduler.RecordBroadcast("second", at(100))
	is.Equal(starts("b", 101), 0)
	report("second", 110)
	scheduler.Tick(at(111))
	is.Equal(len(drain(scheduler).starts), 1)
	report("third", 200)
	scheduler.AttachReader("t0", "third", at(210)) // has reported before this instance noticed the change
	scheduler.Tick(at(211))
	is.Equal(starts("c", 212), 1)
}

// The caller of a job may have left while its instance was paused, and others may have stopped its runs. Their ends must not
// make an instance that resumes start the tasks again before it learns that.
func TestResumedInstanceStartsNothingOfEarlierJobs(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	start := startOne(scheduler, testJob("j", 1, 900, 0))
	scheduler.RecordPause(at(1500))
	scheduler.HandleEnd(start.Target, End{Seq: 1, Run: start.Run, Cause: Stopped}, at(1501))
	scheduler.Submit(testJob("k", 1, 100, 1502), at(1502))
	starts := drain(scheduler).starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Job, "k") // its caller is there
	scheduler.Tick(at(1499 + int(pauseGrace/time.Millisecond)))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.Tick(at(1500 + int(pauseGrace/time.Millisecond)))
	is.Equal(len(drain(scheduler).starts), 1)
}

// The lease of a run must not be renewed for an owner that is silent: it may be lost, and its caller sends the job again 1,300 ms
// later (a play with starved processes: renewed 0.5 s after the owner had been killed).
func TestSilentOwnerRenewsNoLease(t *testing.T) {
	is := is.New(t)
	reader := newTestScheduler(1)
	claim := Claim{Target: "t0", Run: Run{"j.0.0.0", 1}, Resources: Resources{MilliCores: 1000}}
	renewable := func(now int) bool {
		state := reader.TargetState("t0")
		return state.MayRenew(at(now))
	}
	reader.HandlePeerClaim("owner", claim, at(0))
	reader.RecordBroadcast("owner", at(100))
	reader.HandlePoll("t0", PollResult{Incarnation: 1, Running: []ActiveRun{{Run: claim.Run}}, Sent: at(1), Answered: at(2)})
	is.True(renewable(99 + contactMS))
	is.True(!renewable(101 + contactMS))
	reader.DueReports(at(100))
	reader.StopOrphans("t0", func(string) bool { return true }, at(101+contactMS))
	reports := reader.DueReports(at(101 + contactMS))
	is.Equal(len(reports), 1)
	is.Equal(reports[0].FreeCapacity, Resources{}) // nor by starts
	reader.HandlePeerClaim("owner", claim, at(400))
	reader.RecordBroadcast("owner", at(400))
	is.True(renewable(401))
}
