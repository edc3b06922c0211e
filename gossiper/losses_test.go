package gossiper

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/isolator"
	"github.com/hyssoplift/hyssoplift/linker"
)

// A loss must reach the other instances although the host name of its target, or the route of a run, is longer than a text of a message:
// they would not learn of the loss.
func TestLossWithLongNamesIsSent(t *testing.T) {
	is := is.New(t)
	gossiper, _, _ := newTestGossiper(1)
	gossiper.contact("other", 1)
	loss := isolator.Loss{
		Target: "t", Incarnation: 1, Address: strings.Repeat("a", 258), At: gossiper.now(), Observer: "self",
		Suspects: []isolator.Suspect{{Task: "j.0.0.0", Route: strings.Repeat("r", 300)}, {Task: "k.0.0.0", Route: "r"}},
	}
	want := []linker.Loss{{Target: "t", Incarnation: 1, Observer: "self", Runs: []linker.LostRun{{Task: "j.0.0.0"}, {Task: "k.0.0.0", Route: "r"}}}}
	gossiper.SendLoss("other", &loss)
	is.Equal(gossiper.outbox["other"].Losses, want)
	gossiper.outbox["other"].Losses = nil
	gossiper.BroadcastLoss(&loss)
	is.Equal(gossiper.outbox["other"].Losses, want)
}
