package checker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/checker"
)

func at(seconds float64) checker.Timestamp {
	return checker.Timestamp{Time: time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))}
}

func submitted(seconds float64, id int64, key string) checker.Submitted {
	return checker.Submitted{Timestamp: at(seconds), Submission: id, Key: key, Digest: "x", Tasks: []string{"a", "b"}}
}

func started(seconds float64, key, task string) checker.TaskStarted {
	return checker.TaskStarted{Timestamp: at(seconds), Key: key, Digest: "x", Task: task, Instance: "i", Target: "t"}
}

// TestCheck guards against a checker that misses a violation or reports one where there is none.
func TestCheck(t *testing.T) {
	unrepeatable := submitted(0, 1, "~k")
	unrepeatable.Unrepeatable = true
	day := float64(24 * 3600)
	for _, test := range []struct {
		name    string
		history []checker.Event
		want    []checker.Guarantee
	}{
		{"one start", []checker.Event{submitted(0, 1, "k"), started(1, "k", "a"), started(1, "k", "b")}, nil},
		{"two starts", []checker.Event{submitted(0, 1, "k"), started(1, "k", "a"), started(2, "k", "a")}, []checker.Guarantee{checker.SingleStart}},
		{"two starts of an unrepeatable job", []checker.Event{unrepeatable, started(1, "~k", "a"), started(day, "~k", "a")}, []checker.Guarantee{checker.AtMostOnce, checker.SingleStart}},
		{"plain key after its retention", []checker.Event{submitted(0, 1, "k"), started(1, "k", "a"), checker.JobEnded{Timestamp: at(2), Key: "k"}, started(700, "k", "a")}, nil},
		{"plain key within its retention", []checker.Event{submitted(0, 1, "k"), started(1, "k", "a"), checker.JobEnded{Timestamp: at(2), Key: "k"}, started(500, "k", "a")}, []checker.Guarantee{checker.SingleStart}},
		{"partial answer", []checker.Event{submitted(0, 1, "k"), started(1, "k", "a"), checker.CompleteAnswer{Timestamp: at(2), Submission: 1, Key: "k", Digest: "x", Tasks: []string{"a"}}}, []checker.Guarantee{checker.WholeAnswer}},
		{"answer without a run", []checker.Event{submitted(0, 1, "k"), started(1, "k", "a"), checker.CompleteAnswer{Timestamp: at(2), Submission: 1, Key: "k", Digest: "x", Tasks: []string{"a", "b"}}}, []checker.Guarantee{checker.WholeAnswer}},
		{"failed answer with results", []checker.Event{submitted(0, 1, "k"), checker.FailedAnswer{Timestamp: at(2), Submission: 1, Results: []string{"a"}}}, []checker.Guarantee{checker.WholeAnswer}},
		{"answer to another body", []checker.Event{submitted(0, 1, "k"), checker.CompleteAnswer{Timestamp: at(2), Submission: 1, Key: "k", Digest: "y", Tasks: []string{"a", "b"}}}, []checker.Guarantee{checker.OwnAnswer}},
		{"two answers", []checker.Event{submitted(0, 1, "k"), checker.UnknownAnswer{Timestamp: at(2), Submission: 1}, checker.Refused{Timestamp: at(3), Submission: 1}}, []checker.Guarantee{checker.OwnAnswer}},
		{"refusal after a start", []checker.Event{submitted(0, 1, "k"), started(1, "k", "a"), checker.Refused{Timestamp: at(2), Submission: 1}}, []checker.Guarantee{checker.TrueRefusal}},
		{"refusal decided before a start of a resubmission", []checker.Event{submitted(0, 1, "k"), submitted(1, 2, "k"), started(2, "k", "a"), checker.Refused{Timestamp: at(4), Submission: 1, Decided: at(1.5).Time}}, nil},
		{"start after every submission was refused", []checker.Event{submitted(0, 1, "k"), checker.Refused{Timestamp: at(1), Submission: 1}, started(2, "k", "a")}, []checker.Guarantee{checker.TrueRefusal}},
		{"refusal of another body", []checker.Event{submitted(0, 1, "k"), checker.Submitted{Timestamp: at(1), Submission: 2, Key: "k", Digest: "y"}, started(1.5, "k", "a"), checker.Refused{Timestamp: at(2), Submission: 2}}, nil},
		{"start of a cancelled job", []checker.Event{submitted(0, 1, "k"), checker.Cancelled{Timestamp: at(1), Key: "k"}, started(2, "k", "a")}, []checker.Guarantee{checker.TrueRefusal}},
		{"task that started is called not started", []checker.Event{submitted(0, 1, "k"), started(1, "k", "a"), checker.FailedAnswer{Timestamp: at(2), Submission: 1, NotStarted: []string{"a"}}}, []checker.Guarantee{checker.TrueRefusal}},
		{"work for a leaving target", []checker.Event{checker.TargetLeaving{Timestamp: at(0), Target: "t"}, started(4, "k", "a"), started(6, "l", "a")}, []checker.Guarantee{checker.LeavingDrained}},
		{"work for a target that is back", []checker.Event{checker.TargetLeaving{Timestamp: at(0), Target: "t"}, checker.TargetReturned{Timestamp: at(5), Target: "t"}, started(6, "l", "a")}, nil},
		{"request cut by a planned stop", []checker.Event{checker.StopPlanned{Timestamp: at(0), Instance: "i"}, checker.RequestDropped{Timestamp: at(1), Instance: "i"}}, []checker.Guarantee{checker.GracefulStop}},
		{"request cut by a crash", []checker.Event{checker.RequestDropped{Timestamp: at(1), Instance: "i"}}, nil},
		{"late bundle", []checker.Event{checker.BundleAccepted{Timestamp: at(0), Version: 2}, checker.BundleInForce{Timestamp: at(11), Instance: "i", Version: 1}}, []checker.Guarantee{checker.TimelyBundle}},
		{"bundle after a cut", []checker.Event{checker.InstanceUnreachable{Timestamp: at(0), Instance: "i"}, checker.BundleAccepted{Timestamp: at(0), Version: 2}, checker.BundleInForce{Timestamp: at(60), Instance: "i", Version: 1}, checker.InstanceReachable{Timestamp: at(61), Instance: "i"}, checker.BundleInForce{Timestamp: at(70), Instance: "i", Version: 1}, checker.BundleInForce{Timestamp: at(71), Instance: "i", Version: 2}}, nil},
		{"bundle reverts", []checker.Event{checker.BundleInForce{Timestamp: at(1), Instance: "i", Version: 2}, checker.BundleInForce{Timestamp: at(2), Instance: "i", Version: 1}}, []checker.Guarantee{checker.TimelyBundle}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var got []checker.Guarantee
			for _, violation := range checker.Check(test.history, checker.DefaultBounds()) {
				got = append(got, violation.Guarantee())
				is.True(len(violation.Events()) > 0) // a violation names its events
			}
			is.Equal(got, test.want)
		})
	}
}
