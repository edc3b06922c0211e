package supervisor

import (
	"fmt"
	"testing"

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
