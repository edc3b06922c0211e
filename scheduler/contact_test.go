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
	scheduler.AttachReader("t0", "reader")
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
	scheduler.AttachReader("t0", "")
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
	end := int((LeaseDuration + leaseMargin) / time.Millisecond)
	scheduler.RecordBroadcast("a", at(end-contactMS-1))
	scheduler.Tick(at(end))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.RecordBroadcast("a", at(end))
	scheduler.Tick(at(end + 1))
	is.Equal(len(drain(scheduler).starts), 1)
}
