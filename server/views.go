package server

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/keeper"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

const (
	viewStreamPrefix = "views-"
	// appendTimeout bounds one append of a view. Only the stream shows whether it took effect.
	appendTimeout = 3 * time.Second
	// maxViewBytes bounds a record of the stream. A view of thousands of members takes about 100 KB.
	maxViewBytes = 4 << 20
)

// viewLog reads the views of the failure domain from the log and appends proposals to it.
type viewLog struct {
	log          *appender.Appender
	stream       string
	keeperDriver *keeperDriver
	logger       hclog.Logger
	// onChange is called after each record that puts another view in force.
	onChange func(number int64, view keeper.View)

	mu sync.Mutex
	// caughtUp is set once the stream has been read to its end.
	caughtUp bool
	// trimmed means that the log has dropped records of the stream.
	trimmed   bool
	appending bool
	// adoptedAt is the time at which the view in force was read.
	adoptedAt time.Time
	// lastRenewal is the number of the last renewal or reset, or of the first view if there was none.
	lastRenewal int64
}

func newViewLog(log *appender.Appender, domain string, keeperDriver *keeperDriver, logger hclog.Logger, onChange func(int64, keeper.View)) *viewLog {
	return &viewLog{log: log, stream: viewStreamPrefix + domain, keeperDriver: keeperDriver, logger: logger, onChange: onChange}
}

// follow reads the stream until ctx is done.
func (viewLog *viewLog) follow(ctx context.Context) {
	var next int64
	var wait time.Duration
	opened := false
	for ctx.Err() == nil {
		page, err := readLog(ctx, viewLog.log, viewLog.stream, next, wait)
		if err != nil {
			viewLog.logger.Warn("reading views failed", "error", eris.ToString(err, false))
			sleeper.For(ctx, logRetryDelay)
			continue
		}
		if !opened || page.Earliest > next {
			viewLog.keeperDriver.keeper.SetEarliestOffset(page.Earliest)
			next, opened = max(next, page.Earliest), true
		}
		for _, record := range page.Records {
			viewLog.readRecord(record)
			next = record.Offset + 1
		}
		viewLog.mu.Lock()
		viewLog.trimmed = page.Earliest > 0
		viewLog.caughtUp = viewLog.caughtUp || next >= page.Next
		viewLog.mu.Unlock()
		if next >= page.Next {
			wait = logPollWait
		}
	}
}

// readRecord passes one record to the keeper.
func (viewLog *viewLog) readRecord(record appender.Record) {
	var view keeper.View
	if len(record.Data) > maxViewBytes {
		viewLog.logger.Error("view record ignored", "offset", record.Offset, "error", "record is too large")
		return
	}
	if err := json.Unmarshal(record.Data, &view); err != nil {
		viewLog.logger.Error("view record ignored", "offset", record.Offset, "error", err.Error())
		return
	}
	previousNumber, previous := viewLog.keeperDriver.keeper.View()
	now := time.Now()
	viewLog.keeperDriver.apply(viewLog.keeperDriver.keeper.Adopt(record.Offset, view, now))
	number, current := viewLog.keeperDriver.keeper.View()
	if number == previousNumber {
		viewLog.logger.Info("view superseded by an earlier record", "offset", record.Offset, "in-force", number)
		return
	}
	viewLog.mu.Lock()
	viewLog.adoptedAt = now
	if previousNumber == keeper.NoView || current.Reset || isRenewal(previous, current) {
		viewLog.lastRenewal = number
	}
	viewLog.mu.Unlock()
	viewLog.logger.Info("view in force", "view", number, "members", len(current.Members), "departing", len(current.Departing))
	viewLog.onChange(number, current)
}

// isRenewal reports whether next only repeats the members.
func isRenewal(before, next keeper.View) bool {
	if len(next.Departing) > 0 || len(before.Members) != len(next.Members) {
		return false
	}
	for _, member := range next.Members {
		if _, ok := before.Member(member.Incarnation); !ok {
			return false
		}
	}
	return true
}

// state returns whether the stream has been read to its end and whether it was trimmed.
func (viewLog *viewLog) state() (caughtUp, trimmed bool) {
	viewLog.mu.Lock()
	defer viewLog.mu.Unlock()
	return viewLog.caughtUp, viewLog.trimmed
}

// renewal returns a view that repeats the members, if the view in force is older than age.
func (viewLog *viewLog) renewal(now time.Time, age time.Duration) (keeper.View, bool) {
	number, current := viewLog.keeperDriver.keeper.View()
	viewLog.mu.Lock()
	defer viewLog.mu.Unlock()
	if number == keeper.NoView || now.Sub(viewLog.adoptedAt) < age {
		return keeper.View{}, false
	}
	return keeper.View{Prev: number, Members: current.Members, ExpiryFloor: max(viewLog.lastRenewal, 0)}, true
}

// propose appends view in the background, unless an append is in progress. Only the stream shows whether the view is
// put in force, even after a lost response.
func (viewLog *viewLog) propose(ctx context.Context, view keeper.View) {
	data, err := json.Marshal(view)
	if err != nil {
		panic(eris.Wrap(err, "encoding a view"))
	}
	viewLog.mu.Lock()
	defer viewLog.mu.Unlock()
	if viewLog.appending {
		return
	}
	viewLog.appending = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		offset, err := viewLog.log.Append(ctx, viewLog.stream, data)
		if err != nil {
			viewLog.logger.Warn("append of a view not confirmed", "error", eris.ToString(err, false))
		} else {
			viewLog.logger.Info("view proposed", "view", offset, "previous", view.Prev, "members", len(view.Members), "departing", len(view.Departing), "reset", view.Reset)
		}
		viewLog.mu.Lock()
		defer viewLog.mu.Unlock()
		viewLog.appending = false
	}()
}
