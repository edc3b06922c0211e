package locator

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(milliseconds int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(milliseconds) * time.Millisecond)
}

// A job that another instance has announced must not run beside the runs there, nor be kept from running once they have ended.
func TestAnnouncedJobIsNotRunTwice(t *testing.T) {
	tests := []struct {
		name    string
		job     string
		now     int
		contact Contact
		unknown bool
		want    Decision
	}{
		{name: "not announced", job: "other", now: 500, want: Run{}},
		{name: "active", job: "j", now: 500, want: Join{"a"}},
		{name: "silent and not lost", job: "j", now: 1900, contact: Contact{LastHeard: at(1450)}, want: Join{"a"}},
		{name: "instance lost, runs may go on", job: "j", now: 700, contact: Contact{LastHeard: at(100), Lost: true}, want: Withhold{"a"}},
		{name: "instance lost, shortly before its runs have ended", job: "j", now: 1369, contact: Contact{LastHeard: at(100), Lost: true}, want: Withhold{"a"}},
		{name: "instance lost, runs have ended", job: "j", now: 1370, contact: Contact{LastHeard: at(100), Lost: true}, want: Run{}},
		{name: "instance forgotten", job: "j", now: 500, unknown: true, want: Run{}},
		{name: "not announced any more", job: "j", now: 2000, contact: Contact{LastHeard: at(1990)}, want: Run{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			locator := New()
			locator.Record("a", KeyOf("j"), at(0))
			decision := locator.Decide(test.job, func(instance string) (Contact, bool) {
				is.Equal(instance, "a")
				return test.contact, !test.unknown
			}, at(test.now))
			is.Equal(decision, test.want)
		})
	}
}

// The announcements of an instance must count until its runs have ended, although it is lost right before its next announcement.
func TestLastAnnouncementOutlivesRunsOfLostInstance(t *testing.T) {
	is := is.New(t)
	const heartbeat = 120 * time.Millisecond
	is.True(retention >= AnnounceInterval+heartbeat+RunsEndAfter)
	// A caller whose connection broke with the instance hands its job in again later.
	is.True(RunsEndAfter < ResubmitInterval)
}

// A later announcement of a job that has moved on to another instance must replace the earlier one.
func TestLatestAnnouncementCounts(t *testing.T) {
	is := is.New(t)
	locator := New()
	locator.Record("a", KeyOf("j"), at(0))
	locator.Record("b", KeyOf("j"), at(100))
	live := func(string) (Contact, bool) { return Contact{LastHeard: at(100)}, true }
	locator.Record("a", KeyOf("j"), at(50)) // held up by a cut
	is.Equal(locator.Decide("j", live, at(150)), Join{"b"})
}

// Announcements must not take memory without bound.
func TestAnnouncementsAreBounded(t *testing.T) {
	is := is.New(t)
	locator := New()
	for i := range 2 * maxJobs {
		locator.Record("a", Key(i), at(0))
	}
	is.Equal(len(locator.locations), maxJobs)
	locator.Expire(at(1999))
	is.Equal(len(locator.locations), maxJobs)
	locator.Expire(at(2000))
	is.Equal(len(locator.locations), 0)
}

func BenchmarkDecide(b *testing.B) {
	locator := New()
	for i := range 4096 {
		locator.Record("a", KeyOf(strconv.Itoa(i)), at(0))
	}
	live := func(string) (Contact, bool) { return Contact{}, true }
	for b.Loop() {
		locator.Decide("d8bad9b9d9cef9ff", live, at(100))
	}
}

// A job that one instance has given up must be joined where it is active: the former would run it beside the runs there.
func TestJobThatWasGivenUpIsJoinedWhereItIsActive(t *testing.T) {
	const recorded = 100
	tests := []struct {
		name    string
		active  bool
		givenUp Contact
		want    Decision
	}{
		{"given up", false, Contact{}, Join{"former"}},
		{"given up, active elsewhere", true, Contact{}, Join{"present"}},
		{"given up by a lost instance", false, Contact{LastHeard: at(recorded), Lost: true}, Run{}},
		{"given up by a lost instance, active elsewhere", true, Contact{LastHeard: at(recorded), Lost: true}, Join{"present"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			locator := New()
			if test.active {
				locator.Record("present", KeyOf("j"), at(0))
			}
			locator.Record("former", GivenUpKeyOf("j"), at(recorded))
			decision := locator.Decide("j", func(instance string) (Contact, bool) {
				if instance == "former" {
					return test.givenUp, true
				}
				return Contact{}, true
			}, at(200))
			is.Equal(decision, test.want)
		})
	}
}
