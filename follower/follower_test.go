package follower

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

// script is a source whose answers are given in advance.
type script struct {
	answers []func(ctx context.Context) ([]Record, int64, error)
	calls   []string
}

func (script *script) next(ctx context.Context, call string) ([]Record, int64, error) {
	script.calls = append(script.calls, call)
	if len(script.answers) == 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	answer := script.answers[0]
	script.answers = script.answers[1:]
	return answer(ctx)
}

func (script *script) Newest(ctx context.Context, _ string) ([]Record, int64, error) {
	return script.next(ctx, "newest")
}

func (script *script) Read(ctx context.Context, _ string, from int64, _ time.Duration) ([]Record, int64, error) {
	return script.next(ctx, fmt.Sprintf("read %d", from))
}

func answer(next int64, err error, keys ...string) func(context.Context) ([]Record, int64, error) {
	return func(context.Context) ([]Record, int64, error) {
		var records []Record
		for _, key := range keys {
			records = append(records, Record{Key: key})
		}
		return records, next, err
	}
}

func silence(ctx context.Context) ([]Record, int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against records that are missed after an outage, a silent connection or lost history.
func TestFollowKeepsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		script := &script{answers: []func(context.Context) ([]Record, int64, error){
			answer(0, eris.New("store is down")),
			answer(5, nil, "a", "b"),
			answer(6, nil, "a"),
			answer(6, nil),
			silence,
			answer(0, eris.New("store answered 503")),
			answer(8, nil, "b", "c"),
			answer(0, ErrTrimmed),
			answer(20, nil, "a"),
		}}
		ctx, cancel := context.WithCancel(t.Context())
		var updates []string
		done := make(chan struct{})
		options := PollOptions{MaxWait: time.Second, Interval: 100 * time.Millisecond, TimeoutMargin: time.Second}
		go func() {
			defer close(done)
			Follow(ctx, script, "topic", options, hclog.NewNullLogger(), func(update Update) {
				text := fmt.Sprint(update.Snapshot)
				for _, record := range update.Records {
					text += " " + record.Key
				}
				updates = append(updates, text)
			})
		}()
		time.Sleep(30 * time.Second)
		cancel()
		<-done
		is.Equal(updates, []string{"true a b", "false a", "false b c", "true a"})
		is.Equal(script.calls[:10], []string{"newest", "newest", "read 5", "read 6", "read 6", "read 6", "read 6", "read 8", "newest", "read 20"})
	})
}
