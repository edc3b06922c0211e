package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newReaderOfUnknownRun returns a scheduler that has become the reader of t0 at 0 and has just listed a run there of which
// it knows no owner.
func newReaderOfUnknownRun(peers Peers) (*Scheduler, Run) {
	scheduler := newTestScheduler(1)
	scheduler.SetPeers(peers)
	run := Run{"j.0.0.0", 1}
	listRun(scheduler, run, 0)
	return scheduler, run
}

// listRun delivers a list of t0 with one run.
func listRun(scheduler *Scheduler, run Run, now int) {
	scheduler.HandlePoll("t0", PollResult{Incarnation: 1, Running: []ActiveRun{{Run: run, MilliCores: 14000}}, Sent: at(now - 1), Answered: at(now)})
}

func everybodyAlive(string) bool { return true }

// If the owner and reader of a run are one and are killed, the next reader must stop the run as soon as no other instance
// owns it, and must not renew its lease meanwhile: the caller sends the job again 1,300 ms after the kill.
func TestRunOfAKilledReaderIsStopped(t *testing.T) {
	is := is.New(t)
	scheduler, run := newReaderOfUnknownRun(Peers{Answering: []string{"a", "b"}, Complete: true})
	state := scheduler.TargetState("t0")
	is.True(state.Occupied)
	is.True(!state.MayRenew(at(1)))
	scheduler.StopOrphans("t0", everybodyAlive, at(int(ownerQueryDelay/time.Millisecond)-1))
	is.Equal(len(scheduler.TakeActions()), 0) // a claim may be under way
	now := int(ownerQueryDelay / time.Millisecond)
	scheduler.StopOrphans("t0", everybodyAlive, at(now))
	query := scheduler.TakeActions()[0].(QueryOwner)
	is.Equal(query.OwnedRun, OwnedRun{"t0", 1, run})
	is.Equal(query.To, []string{"a", "b"})
	scheduler.HandlePeerDisowned("a", query.OwnedRun, at(now+2))
	is.Equal(len(drain(scheduler).stops), 0)
	scheduler.HandlePeerDisowned("b", query.OwnedRun, at(now+3))
	stops := drain(scheduler).stops
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Run, run)
}

// A run whose owner answers must go on, and one whose owner may not have been asked must be given the time to be claimed.
func TestRunWithAnOwnerIsNotStopped(t *testing.T) {
	tests := []struct {
		name  string
		peers Peers
		claim bool
		// stopped is when the run is stopped, or -1.
		stopped int
	}{
		{"owner answers", Peers{Answering: []string{"a", "b"}, Complete: true}, true, -1},
		{"an instance does not answer", Peers{Answering: []string{"a", "b", "silent"}, Complete: true}, false, 600},
		{"not all instances are known", Peers{Answering: []string{"a"}}, false, 600},
		{"no other instance", Peers{Complete: true}, false, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler, run := newReaderOfUnknownRun(test.peers)
			claim := Claim{Target: "t0", Run: run, Resources: Resources{MilliCores: 14000}, Incarnation: 1}
			stopped := -1
			for now := 100; now < 2000 && stopped < 0; now += 100 {
				listRun(scheduler, run, now)
				scheduler.StopOrphans("t0", everybodyAlive, at(now))
				for _, action := range scheduler.TakeActions() {
					switch action := action.(type) {
					case StopRun:
						stopped = now
					case QueryOwner:
						for _, to := range action.To {
							if to == "b" && test.claim {
								scheduler.HandlePeerClaim(to, claim, at(now+2))
							} else if to != "silent" {
								scheduler.HandlePeerDisowned(to, action.OwnedRun, at(now+2))
							}
						}
					}
				}
			}
			is.Equal(stopped, test.stopped)
		})
	}
}

// A run that its owner no longer claims must be stopped if the owner does not own it any more: its stop may have got lost.
func TestRunThatItsOwnerHasDroppedIsStopped(t *testing.T) {
	is := is.New(t)
	owner, reader := New("owner", "a"), newTestScheduler(1)
	reader.SetPeers(Peers{Answering: []string{"owner"}, Complete: true})
	owner.SetTargets(testTargets(1), at(0))
	start := startOne(owner, testJob("j", 1, 900, 0))
	reader.HandlePeerClaim("owner", start.Claim, at(2))
	stopped := -1
	for now := 50; now < 2000 && stopped < 0; now += 50 {
		if now == 700 {
			owner.Abandon("j", "the caller left", at(now)) // the stop request is lost
			drain(owner)
		}
		if now%250 == 0 {
			for _, claim := range owner.Claims(at(now)) {
				reader.HandlePeerClaim("owner", claim, at(now+2))
			}
		}
		listRun(reader, start.Run, now)
		if now%100 != 0 {
			continue
		}
		reader.StopOrphans("t0", everybodyAlive, at(now))
		for _, action := range reader.TakeActions() {
			query := action.(QueryOwner)
			is.Equal(query.To, []string{"owner"})
			_, owned := owner.HandleOwnerQuery(query.OwnedRun, at(now+1))
			is.True(!owned)
			reader.HandlePeerDisowned("owner", query.OwnedRun, at(now+2))
			is.Equal(len(drain(reader).stops), 1)
			stopped = now
		}
	}
	is.True(stopped > 700)
	is.True(stopped < 700+int(orphanGrace/time.Millisecond)+250)
}

// An instance must disown all but its present runs: not one that it stops, one of another incarnation, or one elsewhere.
func TestOwnerQueries(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	start := startOne(scheduler, testJob("j", 1, 900, 0))
	query := OwnedRun{start.Target, 1, start.Run}
	owned := func(query OwnedRun) bool {
		_, owned := scheduler.HandleOwnerQuery(query, at(100))
		return owned
	}
	is.True(owned(query))
	is.True(owned(OwnedRun{start.Target, 2, start.Run})) // taken by an incarnation of which this instance has not learned
	is.True(!owned(OwnedRun{start.Target, 1, Run{start.Run.Task, 2}}))
	is.True(!owned(OwnedRun{"elsewhere", 1, start.Run}))
	is.True(!owned(OwnedRun{start.Target, 1, Run{"k.0.0.0", 1}}))
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 2, Running: []ActiveRun{{Run: start.Run}}, Sent: at(101), Answered: at(102)})
	is.True(!owned(query))
	scheduler.Abandon("j", "the caller left", at(110))
	is.True(!owned(OwnedRun{start.Target, 2, start.Run}))
}

// The lease of a target must be renewed for the runs of live instances only.
func TestLostOwnersRenewNoLease(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	claim := Claim{Target: "t0", Run: Run{"j.0.0.0", 1}, Resources: Resources{MilliCores: 14000}, Incarnation: 1}
	scheduler.HandlePeerClaim("peer", claim, at(0))
	state := scheduler.TargetState("t0")
	is.True(state.MayRenew(at(599)))
	is.True(!state.MayRenew(at(600))) // the claim has not been repeated
	scheduler.HandlePeerClaim("peer", claim, at(250))
	state = scheduler.TargetState("t0")
	is.True(state.MayRenew(at(849)))
	scheduler.RemovePeer("peer")
	state = scheduler.TargetState("t0")
	is.True(!state.MayRenew(at(300)))
	scheduler.HandlePeerClaim("peer", claim, at(310)) // it was only silent
	state = scheduler.TargetState("t0")
	is.True(state.MayRenew(at(320)))
}
