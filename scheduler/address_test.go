package scheduler

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/isolator"
)

// moved returns the first test target with the given incarnation and address.
func moved(incarnation int64, address string) Target {
	info := testTarget(0)
	info.Incarnation, info.Address = incarnation, address
	return info
}

// A late refusal from the former address must not count a run on the next incarnation as lost, which would start it twice.
func TestLateRefusalFromFormerAddressDoublesNoRun(t *testing.T) {
	for _, reads := range []bool{true, false} {
		t.Run(fmt.Sprintf("reader %v", reads), func(t *testing.T) {
			is := is.New(t)
			scheduler := New("self", "a")
			scheduler.SetTargets([]Target{moved(1, "127.0.0.1:1"), distinctTargets(2)[1]}, at(-1000))
			for _, id := range scheduler.Targets() {
				scheduler.SetReader(id, reads, at(-2000))
				scheduler.targets[id].lastPolled = at(-2000)
			}
			// A poll to 127.0.0.1:1 is under way.
			startOnFirst(t, scheduler, []Target{moved(2, "127.0.0.1:2"), distinctTargets(2)[1]}, testJob("j", 1, 400, 0))
			scheduler.HandleReplaced(moved(1, "127.0.0.1:1"), at(20))
			for now := 20; now < 300; now += 10 {
				scheduler.Tick(at(now))
				is.Equal(len(drain(scheduler).starts), 0)
			}
		})
	}
}

// A target whose former address belongs to another one must get work at its new address.
func TestReplacedTargetIsUsableAtItsNewAddress(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets([]Target{moved(1, "127.0.0.1:1")}, at(-1000))
	scheduler.HandlePeerRestart("t0", 2, at(0))
	scheduler.HandleReplaced(moved(2, "127.0.0.1:1"), at(10)) // a poll to the former address
	scheduler.SetTargets([]Target{moved(2, "127.0.0.1:2")}, at(500))
	scheduler.HandlePoll("t0", PollResult{Incarnation: 2, Sent: at(600), Answered: at(601)})
	scheduler.Submit(testJob("j", 1, 400, 700), at(700))
	is.Equal(len(drain(scheduler).starts), 1)
}

// A refusal from the former address must not count as a crash of the incarnation that has another address.
func TestFormerAddressCountsNoCrashOfTheNewIncarnation(t *testing.T) {
	is := is.New(t)
	reader := New("reader", "a")
	reader.SetTargets([]Target{moved(1, "127.0.0.1:1")}, at(-1000))
	readIdle(reader, "t0", -2000)
	reader.HandlePeerRestart("t0", 2, at(0))
	reader.HandlePeerClaim("owner", Claim{Target: "t0", Run: Run{"j.0.0.0", 1}, Resources: Resources{MilliCores: 14000}, Incarnation: 2}, at(10))
	reader.HandleReplaced(moved(2, "127.0.0.1:1"), at(20))
	is.Equal(reader.assess("j.0.0.0"), isolator.Free)
}

// A start that is refused at the former address must not keep work away from the target at its new address.
func TestRefusalAtFormerAddressExcludesNothing(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets([]Target{moved(1, "127.0.0.1:1")}, at(-1000))
	scheduler.Submit(testJob("j", 1, 400, 0), at(0))
	start := drain(scheduler).starts[0]
	scheduler.SetTargets([]Target{moved(2, "127.0.0.1:2")}, at(1))
	scheduler.HandleStartResult(start.Target, start.Run, StartRefused, at(2)) // status 421 from the former address
	scheduler.Submit(testJob("k", 1, 400, 3), at(3))
	is.Equal(len(drain(scheduler).starts), 1)
}

// Another target at the address at which the present incarnation was seen means that its runs have ended.
func TestRunsOfReplacedTargetStartAgain(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(distinctTargets(2), at(-1000))
	start := startOnFirst(t, scheduler, distinctTargets(2), testJob("j", 1, 400, 0))
	scheduler.HandleReplaced(start.RunTarget, at(20))
	second := drain(scheduler).starts
	is.Equal(len(second), 1)
	is.Equal(second[0].Target, "t1")
}

// The discovery entry of a former incarnation must not replace what is known of a later one, which would get no work, or
// starts at the former address.
func TestOlderEntryDoesNotReplaceANewerOne(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets([]Target{moved(2, "127.0.0.1:2")}, at(0))
	old := moved(1, "127.0.0.1:1")
	old.Draining = true
	scheduler.SetTargets([]Target{old}, at(10))
	target, _ := scheduler.Target("t0")
	is.Equal(target.Address, "127.0.0.1:2")
	is.True(!target.Draining)
	// It still shows that the target is there.
	scheduler.SetTargets([]Target{old}, at(5000))
	scheduler.Submit(testJob("j", 1, 400, 5001), at(5001))
	is.Equal(len(drain(scheduler).starts), 1)
}
