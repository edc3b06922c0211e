package supervisor

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/follower"
)

// targetRecord returns the record of a target; fields are appended to its entry.
func targetRecord(key, fields string) follower.Record {
	entry := `{"service":"s","addr":"10.0.0.1:80","zone":"a","version":"v1","slots":8,"state":"ready","coldLeftMs":0,` +
		`"capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a"],"seq":4%s}`
	return follower.Record{Key: key, Value: fmt.Appendf(nil, entry, fields)}
}

// Where targets name their incarnation, an entry without it comes from another writer, whether it is read before or after theirs. Where
// no target does, all are used.
func TestEntryWithoutTheIncarnationOthersName(t *testing.T) {
	is := is.New(t)
	registry := newTargetRegistry(hclog.NewNullLogger())
	is.True(registry.update(follower.Update{Snapshot: true, Records: []follower.Record{targetRecord("i-1", ""), targetRecord("i-2", "")}}))
	is.Equal(len(registry.list()), 2)
	is.True(registry.update(follower.Update{Records: []follower.Record{targetRecord("i-2", `,"born":17`)}}))
	is.Equal(len(registry.list()), 1)
	is.Equal(registry.list()[0].ID, "i-2")
	is.True(registry.update(follower.Update{Records: []follower.Record{targetRecord("i-2", "")}}))
	is.Equal(len(registry.list()), 0)
	is.True(registry.update(follower.Update{Records: []follower.Record{targetRecord("i-2", `,"born":17`)}}))
	is.Equal(len(registry.list()), 1)
}

// A target that counts its cold period down must not make every heartbeat replace the list of targets at the scheduler, but a period
// that becomes longer or shorter, also in small steps, must reach it.
func TestEntriesThatCountAColdPeriodDown(t *testing.T) {
	tests := []struct {
		name string
		// everyMS is how often an entry is read, and coldLeftMS what it names.
		everyMS    int
		coldLeftMS []int
		want       []bool
	}{
		{"warm", 500, []int{0, 0, 0}, []bool{true, false, false}},
		{"counts down", 500, []int{2000, 1500, 1000, 500, 0, 0}, []bool{true, false, false, false, false, false}},
		{"read late", 500, []int{9000, 9000, 7600}, []bool{true, false, false}},
		{"read much later", 4000, []int{9000, 9000}, []bool{true, true}},
		{"does not count down", 500, []int{9000, 9000, 9000, 9000, 9000, 9000}, []bool{true, false, false, true, false, false}},
		{"becomes cold", 500, []int{0, 9000, 8500}, []bool{true, true, false}},
		{"warm earlier", 500, []int{9000, 0, 0}, []bool{true, true, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_000_000, 0)
			registry := newTargetRegistry(hclog.NewNullLogger())
			registry.now = func() time.Time { return now }
			var changes []bool
			for number, left := range test.coldLeftMS {
				value := fmt.Appendf(nil, `{"service":"s","addr":"10.0.0.1:80","zone":"a","version":"v1","slots":8,"state":"ready","coldLeftMs":%d,`+
					`"capacity":{"cpu":16000,"memMb":32768,"gpu":0},"seq":%d,"born":17}`, left, number)
				changes = append(changes, registry.update(follower.Update{Records: []follower.Record{{Key: "i-1", Value: value}}}))
				difference := registry.list()[0].ColdUntil.Sub(now) - time.Duration(left)*time.Millisecond
				is.True(left == 0 && registry.list()[0].ColdUntil.IsZero() || difference.Abs() <= coldEndTolerance)
				now = now.Add(time.Duration(test.everyMS) * time.Millisecond)
			}
			is.Equal(changes, test.want)
		})
	}
}
