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

// scriptedSource is a Source that returns prepared responses in order and records the calls.
type scriptedSource struct {
	responses []func(ctx context.Context) ([]Record, int64, error)
	calls     []string
}

func (scriptedSource *scriptedSource) next(ctx context.Context, call string) ([]Record, int64, error) {
	scriptedSource.calls = append(scriptedSource.calls, call)
	if len(scriptedSource.responses) == 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	response := scriptedSource.responses[0]
	scriptedSource.responses = scriptedSource.responses[1:]
	return response(ctx)
}

func (scriptedSource *scriptedSource) Newest(ctx context.Context, _ string) ([]Record, int64, error) {
	return scriptedSource.next(ctx, "newest")
}

func (scriptedSource *scriptedSource) Read(ctx context.Context, _ string, from int64, _ int, _ time.Duration) ([]Record, int64, error) {
	return scriptedSource.next(ctx, fmt.Sprintf("read %d", from))
}

func response(next int64, err error, keys ...string) func(context.Context) ([]Record, int64, error) {
	return func(context.Context) ([]Record, int64, error) {
		var records []Record
		for _, key := range keys {
			records = append(records, Record{Key: key})
		}
		return records, next, err
	}
}

func noResponse(ctx context.Context) ([]Record, int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against missed records after a failed read, a connection that stops responding, or a trimmed topic, and against a
// snapshot with a wrong end, by which records would count as withdrawn that are newer than it.
func TestFollowMissesNoRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		scriptedSource := &scriptedSource{responses: []func(context.Context) ([]Record, int64, error){
			response(0, eris.New("store is down")),
			response(5, nil, "a", "b"),
			response(6, nil, "a"),
			response(6, nil),
			noResponse,
			response(0, eris.New("store answered 503")),
			response(8, nil, "b", "c"),
			response(0, ErrTrimmed),
			response(20, nil, "a"),
		}}
		ctx, cancel := context.WithCancel(t.Context())
		var updates []string
		done := make(chan struct{})
		options := PollOptions{MaxWait: time.Second, Interval: 100 * time.Millisecond, TimeoutMargin: time.Second}
		go func() {
			defer close(done)
			Follow(ctx, scriptedSource, "topic", options, hclog.NewNullLogger(), func(update Update) {
				text := fmt.Sprint(update.Snapshot, update.End)
				for _, record := range update.Records {
					text += " " + record.Key
				}
				updates = append(updates, text)
			})
		}()
		time.Sleep(30 * time.Second)
		cancel()
		<-done
		is.Equal(updates, []string{"true 5 a b", "false 0 a", "false 0 b c", "true 20 a"})
		is.Equal(scriptedSource.calls[:10], []string{"newest", "newest", "read 5", "read 6", "read 6", "read 6", "read 6", "read 8", "newest", "read 20"})
	})
}

// A key that cannot be sent as it is, in a header or as text, would name another target, or none.
func TestReadableKeys(t *testing.T) {
	is := is.New(t)
	for _, key := range []string{"i-1", "config", "a b", "máy", "{}", "../.."} {
		is.True(IsReadableKey(key))
	}
	for _, key := range []string{"", " ", " i-1", "i-1 ", "\xff", "\ufffd", "a\r\nb", "a\x00", "\u202ei"} {
		is.True(!IsReadableKey(key))
	}
}

// narrowSource holds a backlog of records of one kilobyte, which it sends at a bandwidth, and gets further ones.
type narrowSource struct {
	kilobytesPerSecond int64
	recordsPerSecond   int64
	backlog            int64
	began              time.Time
}

func (source *narrowSource) end() int64 {
	return source.backlog + int64(time.Since(source.began).Seconds()*float64(source.recordsPerSecond))
}

func (source *narrowSource) Newest(context.Context, string) ([]Record, int64, error) {
	return nil, 0, nil
}

func (source *narrowSource) Read(ctx context.Context, _ string, from int64, maxKB int, _ time.Duration) ([]Record, int64, error) {
	count := min(int64(maxKB), source.end()-from)
	timer := time.NewTimer(time.Duration(count) * time.Second / time.Duration(source.kilobytesPerSecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-timer.C:
	}
	records := make([]Record, count)
	for i := range records {
		records[i] = Record{Key: "a", Value: make([]byte, 1023), Offset: from + int64(i)}
	}
	return records, from + count, nil
}

// An instance that is seconds behind on a narrow link must catch up: it asked for all it had missed, was given less than that
// before its time-out, and asked for the same again without end, with its link full.
func TestReadsShrinkToWhatTheLinkCarries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &narrowSource{kilobytesPerSecond: 200, recordsPerSecond: 27, backlog: 400, began: time.Now()}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		latest := int64(0)
		options := PollOptions{Interval: 500 * time.Millisecond, TimeoutMargin: 800 * time.Millisecond}
		go Follow(ctx, source, "topic", options, hclog.NewNullLogger(), func(update Update) {
			if len(update.Records) > 0 {
				latest = update.Records[len(update.Records)-1].Offset
			}
		})
		time.Sleep(20 * time.Second)
		synctest.Wait()
		is.True(source.end()-latest < 40) // what comes in between two reads, and the read under way
	})
}
