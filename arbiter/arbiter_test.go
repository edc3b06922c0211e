package arbiter

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(milliseconds int) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(milliseconds) * time.Millisecond)
}

// A wrong level gives one share what others need, or refuses what fits.
func TestMaxMinLevel(t *testing.T) {
	for _, test := range []struct {
		demands  []float64
		capacity float64
		want     float64
	}{
		{nil, 10, 10},
		{[]float64{1, 2, 3}, 10, 10},
		{[]float64{1, 2, 30}, 10, 7},
		{[]float64{30, 1, 30}, 11, 5},
		{[]float64{9, 9, 9}, 9, 3},
	} {
		is.New(t).Equal(maxMin(test.demands, test.capacity), test.want)
	}
}

// play lets ten shares send jobs of one core and 100 ms, with the given time between two jobs in milliseconds, for three seconds, and
// returns the verdicts on the jobs of the first share in the last second. The jobs of the others must be handled as without shares.
func play(t *testing.T, service Service, firstEvery, everyOther int) map[Verdict]int {
	t.Helper()
	arbiter, verdicts := New(), make(map[Verdict]int)
	for now := range 3000 {
		for number := range 10 {
			every := everyOther
			if number == 0 {
				every = firstEvery
			}
			if (now+number)%every != 0 {
				continue
			}
			job := Job{Share: Share(number + 1), Cores: 1, CoreSeconds: 0.1}
			arbiter.Record(job, at(now))
			if decision := arbiter.Decide(job, service, at(now)); number == 0 && now >= 2000 {
				verdicts[decision.Verdict]++
			} else if number > 0 && decision.Verdict != Usual {
				t.Errorf("%+v on share %d at %d ms", decision, number+1, now)
			}
		}
	}
	return verdicts
}

// A share in excess must get its level and, of the rest, only what the others do not need; other shares and services that are not
// contended must not be affected.
func TestExcessIsLimitedToTheLevelAndLentCapacity(t *testing.T) {
	tests := []struct {
		name                   string
		service                Service
		firstEvery, everyOther int
		usual, lent, refused   [2]int
	}{
		{"equal shares", Service{Cores: 10, Waits: true}, 100, 100, [2]int{10, 10}, [2]int{}, [2]int{}},
		{"room for all", Service{Cores: 100, FreeCores: 50}, 10, 100, [2]int{100, 100}, [2]int{}, [2]int{}},
		{"tasks wait", Service{Cores: 10, Waits: true}, 10, 100, [2]int{9, 12}, [2]int{}, [2]int{88, 91}},
		{"capacity is free", Service{Cores: 20, FreeCores: 15}, 10, 100, [2]int{49, 53}, [2]int{47, 51}, [2]int{}},
		{"little is free", Service{Cores: 10, FreeCores: 2}, 10, 100, [2]int{9, 12}, [2]int{}, [2]int{88, 91}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			verdicts := play(t, test.service, test.firstEvery, test.everyOther)
			for verdict, bounds := range map[Verdict][2]int{Usual: test.usual, Lent: test.lent, Refused: test.refused} {
				if count := verdicts[verdict]; count < bounds[0] || count > bounds[1] {
					t.Errorf("verdict %d: %d of 100 jobs, not in %v", verdict, count, bounds)
				}
			}
		})
	}
}

// A report must hold at most 16 shares whatever their number, the others must count the rest, and values of a lost or paused
// instance must not count later.
func TestReportsAreBoundedAndExpire(t *testing.T) {
	is := is.New(t)
	sender, receiver := New(), New()
	for now := range 1000 {
		job := Job{Share: ShareOf("r", fmt.Sprint(now%100)), Cores: 1, CoreSeconds: 1}
		sender.Record(job, at(now))
		if _, ok := sender.Report(at(now)); ok {
			t.Fatal("a report without contention")
		}
	}
	sender.Decide(Job{Share: ShareOf("r", "0"), Cores: 1, CoreSeconds: 1}, Service{Cores: 10, Waits: true}, at(1000))
	report, ok := sender.Report(at(1000))
	is.True(ok)
	is.Equal(len(report.Shares), reportedShares)
	is.Equal(len(report.Active), activeBits/8)
	for _, test := range []struct {
		name   string
		remove bool
		now    int
		shares float64
	}{{"recent", false, 1499, 100}, {"expired", false, 1500, 0}, {"lost", true, 1100, 0}} {
		receiver.HandleReport("sender", report, at(1000))
		if test.remove {
			receiver.RemovePeer("sender")
		}
		receiver.expireReports(at(test.now))
		demands, total := receiver.demands(at(test.now))
		if math.Abs(float64(len(demands))-test.shares) > 10 || (total.demand > 0) != (test.shares > 0) {
			t.Errorf("%s: %d shares with a demand of %v", test.name, len(demands), total.demand)
		}
	}
}

// Jobs without declared cores made the tokens of their share NaN, so that it was refused for good once it was in excess.
func TestJobsWithoutCoresLeaveTheTokensFinite(t *testing.T) {
	is := is.New(t)
	arbiter, service := New(), Service{Cores: 10, Waits: true}
	empty := Job{Share: 1}
	arbiter.Record(empty, at(0))
	is.Equal(arbiter.Decide(empty, service, at(0)), Decision{})
	usual := 0
	for now := range 1000 {
		job := Job{Share: 1, Cores: 1, CoreSeconds: 0.1}
		arbiter.Record(job, at(now))
		if arbiter.Decide(job, service, at(now)).Verdict == Usual {
			usual++
		}
	}
	is.True(arbiter.shares[1].inExcess)
	is.True(usual >= 90)
}

// While the capacity of the service is not known, for example because all targets are unhealthy, every share was in excess.
func TestNoShareIsInExcessWithoutCapacity(t *testing.T) {
	is := is.New(t)
	arbiter := New()
	for now := range 100 {
		job := Job{Share: Share(1 + now%10), Cores: 1, CoreSeconds: 0.1}
		arbiter.Record(job, at(now))
		is.Equal(arbiter.Decide(job, Service{FreeCores: 1}, at(now)).Verdict, Usual)
	}
}

// Callers with ever new addresses must not use unbounded memory, and must not keep out later ones once they are inactive.
func TestNumberOfSharesIsBounded(t *testing.T) {
	is := is.New(t)
	arbiter := New()
	for number := range 2 * maxShares {
		arbiter.Record(Job{Share: Share(number + 1), Cores: 1, CoreSeconds: 0.1}, at(0))
	}
	is.Equal(len(arbiter.shares), maxShares)
	is.Equal(arbiter.Decide(Job{Share: 2 * maxShares, Cores: 1, CoreSeconds: 0.1}, Service{Cores: 1, Waits: true}, at(0)), Decision{})
	late := at(int(activeTime.Milliseconds()) + 1)
	arbiter.Record(Job{Share: 2 * maxShares, Cores: 1, CoreSeconds: 0.1}, late)
	is.Equal(len(arbiter.shares), 1)
}

// A share whose jobs arrive at two instances must not get the tokens of its level at each of them.
func TestTokensAreDividedAmongInstances(t *testing.T) {
	service, job := Service{Cores: 10, Waits: true}, Job{Share: 1, Cores: 1, CoreSeconds: 0.1}
	other := Job{Share: 2, Cores: 1, CoreSeconds: 0.1}
	instances, usual := []*Arbiter{New(), New()}, 0
	for now := range 4000 {
		for number, arbiter := range instances {
			if report, ok := instances[1-number].Report(at(now)); ok && now%10 == 0 {
				arbiter.HandleReport("other", report, at(now))
			}
			if now%10 == 0 {
				arbiter.Record(other, at(now))
				arbiter.Decide(other, service, at(now))
			}
			arbiter.Record(job, at(now))
			if arbiter.Decide(job, service, at(now)).Verdict == Usual && now >= 3000 {
				usual++
			}
		}
	}
	// The level is 5 cores, which is 50 jobs a second.
	if usual < 45 || usual > 55 {
		t.Errorf("%d jobs a second at both instances instead of 50", usual)
	}
}
