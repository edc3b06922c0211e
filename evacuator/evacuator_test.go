package evacuator

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func requested(domain string, version int64) Record { return Record{domain, version, true} }

func withdrawn(domain string, version int64) Record { return Record{domain, version, false} }

// A record that arrives late, from the store or from an instance that was cut off, must not undo a newer one, or tasks start in an
// evacuated domain, or never again in one that is not.
func TestNewestRecordCounts(t *testing.T) {
	tests := []struct {
		name    string
		records []Record
		changes []bool
		want    []string
		version int64
	}{
		{"no record", nil, nil, nil, 0},
		{"request", []Record{requested("a", 3)}, []bool{true}, []string{"a"}, 3},
		{"request twice", []Record{requested("a", 3), requested("a", 3)}, []bool{true, false}, []string{"a"}, 3},
		{"request renewed", []Record{requested("a", 3), requested("a", 5)}, []bool{true, false}, []string{"a"}, 5},
		{"withdrawal", []Record{requested("a", 3), withdrawn("a", 4)}, []bool{true, true}, nil, 4},
		{"withdrawal first", []Record{withdrawn("a", 4), requested("a", 3)}, []bool{false, false}, nil, 4},
		{"requested again", []Record{withdrawn("a", 4), requested("a", 7)}, []bool{false, true}, []string{"a"}, 7},
		{"two domains", []Record{requested("b", 9), requested("a", 3)}, []bool{true, true}, []string{"a", "b"}, 9},
		{"no version", []Record{requested("a", 0), requested("a", -1)}, []bool{false, false}, nil, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			evacuator := New()
			var changes []bool
			for _, record := range test.records {
				changes = append(changes, evacuator.Apply(record))
			}
			is.Equal(changes, test.changes)
			is.Equal(evacuator.Evacuated(), test.want)
			is.Equal(evacuator.Version(), test.version)
			for _, domain := range []string{"a", "b"} {
				evacuated := false
				for _, want := range test.want {
					evacuated = evacuated || want == domain
				}
				is.Equal(evacuator.IsEvacuated(domain), evacuated)
			}
		})
	}
}

// A snapshot is all that is left of a withdrawal whose record the store has trimmed; a domain would stay evacuated. What was
// requested after the snapshot, or while its pages were read, must stay in force.
func TestSnapshotWithdrawsWhatItLacks(t *testing.T) {
	tests := []struct {
		name    string
		known   []Record
		listed  []Record
		end     int64
		changed []Record
		records []Record
	}{
		{"empty", nil, nil, 20, nil, nil},
		{"first request", nil, []Record{requested("a", 3)}, 20, []Record{requested("a", 3)}, []Record{requested("a", 3)}},
		{"still requested", []Record{requested("a", 3)}, []Record{requested("a", 3)}, 20, nil, []Record{requested("a", 3)}},
		{"missing", []Record{requested("a", 3)}, nil, 20, []Record{withdrawn("a", 20)}, []Record{withdrawn("a", 20)}},
		{"missing, last before the end", []Record{requested("a", 20)}, nil, 20, []Record{withdrawn("a", 20)}, []Record{withdrawn("a", 20)}},
		{"newer than the end", []Record{requested("a", 21)}, nil, 20, nil, []Record{requested("a", 21)}},
		{"listed while pages were read", nil, []Record{requested("a", 23)}, 20, []Record{requested("a", 23)}, []Record{requested("a", 23)}},
		{"withdrawn before", []Record{withdrawn("a", 3)}, nil, 20, nil, []Record{withdrawn("a", 3)}},
		{"one of two", []Record{requested("a", 3), requested("b", 4)}, []Record{requested("b", 4)}, 20, []Record{withdrawn("a", 20)}, []Record{withdrawn("a", 20), requested("b", 4)}},
		{"topic that is gone", []Record{requested("a", 3)}, nil, 0, nil, []Record{requested("a", 3)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			evacuator := New()
			for _, record := range test.known {
				evacuator.Apply(record)
			}
			is.Equal(evacuator.ApplySnapshot(test.listed, test.end), test.changed)
			is.Equal(evacuator.Records(), test.records)
		})
	}
}

// An instance that was cut off from the store since before a withdrawal sends the request to one that has started after it: the
// domain would be evacuated again by an old record. The withdrawal must then be known, so that the other instance can learn of it.
func TestOldRecordOfAPeerDoesNotUndoAWithdrawal(t *testing.T) {
	tests := []struct {
		name    string
		known   []Record
		peer    Record
		records []Record
	}{
		{"never known", nil, requested("a", 11), []Record{withdrawn("a", 20)}},
		{"withdrawn by the snapshot", []Record{requested("a", 11)}, requested("a", 11), []Record{withdrawn("a", 20)}},
		{"withdrawn before a later request that is gone as well", []Record{withdrawn("a", 12)}, requested("a", 14), []Record{withdrawn("a", 20)}},
		{"requested after the snapshot", nil, requested("a", 21), []Record{requested("a", 21)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			evacuator := New()
			for _, record := range test.known {
				evacuator.Apply(record)
			}
			evacuator.ApplySnapshot(nil, 20)
			is.Equal(evacuator.Apply(test.peer), test.peer.Version > 20)
			is.Equal(evacuator.Records(), test.records)
			is.True(evacuator.Version() >= 20) // or the peer would send its records without end
		})
	}
}

// A store that was set up anew has lower offsets. Its requests must not be taken for older ones than the former snapshot.
func TestSnapshotIsNotJudgedByAFormerOne(t *testing.T) {
	is := is.New(t)
	evacuator := New()
	evacuator.ApplySnapshot(nil, 20)
	is.Equal(evacuator.ApplySnapshot([]Record{requested("a", 3)}, 5), []Record{requested("a", 3)})
	is.True(evacuator.Apply(requested("b", 6)))
}

// The records are one message between instances, so that a flood of keys must not make them grow. A request in force must not be
// dropped for a withdrawn one, and the version must count what was dropped, or a peer would send it without end.
func TestNumberOfDomainsIsBounded(t *testing.T) {
	is := is.New(t)
	evacuator := New()
	is.True(evacuator.Apply(requested("first", 1)))
	for number := range 2 * MaxDomains {
		evacuator.Apply(withdrawn(fmt.Sprintf("w%d", number), int64(number+2)))
	}
	is.Equal(len(evacuator.Records()), MaxDomains)
	is.Equal(evacuator.Evacuated(), []string{"first"})
	is.True(!evacuator.Apply(withdrawn("older", 2)))
	is.Equal(evacuator.Version(), int64(2*MaxDomains+1))
	for number := range 2 * MaxDomains {
		evacuator.Apply(requested(fmt.Sprintf("r%d", number), int64(3*MaxDomains+number)))
	}
	is.Equal(len(evacuator.Evacuated()), MaxDomains)
	is.Equal(evacuator.Version(), int64(5*MaxDomains-1))
	is.True(evacuator.IsEvacuated("first"))
	is.True(evacuator.Apply(withdrawn("first", 6*MaxDomains)))
	is.True(evacuator.Apply(requested("next", 6*MaxDomains+1)))
}
