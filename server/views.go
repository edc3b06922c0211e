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
	// appendTimeout bounds one append of a view; its effect is seen when the stream is read.
	appendTimeout = 3 * time.Second
	// maxViewBytes bounds a record of the stream: a view of thousands of members takes some 100 KB.
	maxViewBytes = 4 << 20
)

// views reads the views of the failure domain from the log and appends proposals.
type views struct {
	log     *appender.Appender
	stream  string
	decider *decider
	logger  hclog.Logger
	// changed is called after each record that brought another view into force.
	changed func(number int64, view keeper.View)

	mu sync.Mutex
	// caughtUp says that the stream has been read to its end at least once.
	caughtUp bool
	// trimmed says that the log has dropped records of the stream.
	trimmed   bool
	appending bool
	// adopted is when the view in force was read.
	adopted time.Time
	// period is the number of the last renewal, or of the first view.
	period int64
}

func newViews(log *appender.Appender, domain string, decider *decider, logger hclog.Logger, changed func(int64, keeper.View)) *views {
	return &views{log: log, stream: viewStreamPrefix + domain, decider: decider, logger: logger, changed: changed}
}

// follow reads the stream until ctx is done.
func (views *views) follow(ctx context.Context) {
	var next int64
	var wait time.Duration
	opened := false
	for ctx.Err() == nil {
		page, err := readLog(ctx, views.log, views.stream, next, wait)
		if err != nil {
			views.logger.Warn("reading views failed", "error", eris.ToString(err, false))
			sleeper.For(ctx, logRetryDelay)
			continue
		}
		if !opened || page.Earliest > next {
			views.decider.keeper.SetEarliestOffset(page.Earliest)
			next, opened = max(next, page.Earliest), true
		}
		for _, record := range page.Records {
			views.read(record)
			next = record.Offset + 1
		}
		views.mu.Lock()
		views.trimmed = page.Earliest > 0
		views.caughtUp = views.caughtUp || next >= page.Next
		views.mu.Unlock()
		if next >= page.Next {
			wait = logWait
		}
	}
}

// read passes one record to the keeper.
func (views *views) read(record appender.Record) {
	var view keeper.View
	if len(record.Data) > maxViewBytes {
		views.logger.Error("view record ignored", "offset", record.Offset, "error", "record is too large")
		return
	}
	if err := json.Unmarshal(record.Data, &view); err != nil {
		views.logger.Error("view record ignored", "offset", record.Offset, "error", err.Error())
		return
	}
	before, old := views.decider.keeper.View()
	now := time.Now()
	views.decider.apply(views.decider.keeper.Adopt(record.Offset, view, now))
	number, current := views.decider.keeper.View()
	if number == before {
		views.logger.Info("view lost the race to an earlier record", "offset", record.Offset, "in-force", number)
		return
	}
	views.mu.Lock()
	views.adopted = now
	if before == keeper.NoView || current.Reset || isRenewal(old, current) {
		views.period = number
	}
	views.mu.Unlock()
	views.logger.Info("view in force", "view", number, "members", len(current.Members), "departing", len(current.Departing))
	views.changed(number, current)
}

// isRenewal says that next only repeats the members.
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

// state returns whether the stream has been read to its end, and whether it was trimmed.
func (views *views) state() (caughtUp, trimmed bool) {
	views.mu.Lock()
	defer views.mu.Unlock()
	return views.caughtUp, views.trimmed
}

// renewal returns the view that repeats the members once the view in force is older than age.
func (views *views) renewal(now time.Time, age time.Duration) (keeper.View, bool) {
	number, current := views.decider.keeper.View()
	views.mu.Lock()
	defer views.mu.Unlock()
	if number == keeper.NoView || now.Sub(views.adopted) < age {
		return keeper.View{}, false
	}
	return keeper.View{Prev: number, Members: current.Members, ExpiryFloor: max(views.period, 0)}, true
}

// propose appends view in the background, unless an append is under way; whether it comes into force shows
// when the stream is read, also after a lost response.
func (views *views) propose(ctx context.Context, view keeper.View) {
	data, err := json.Marshal(view)
	if err != nil {
		panic(eris.Wrap(err, "encoding a view"))
	}
	views.mu.Lock()
	defer views.mu.Unlock()
	if views.appending {
		return
	}
	views.appending = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		offset, err := views.log.Append(ctx, views.stream, data)
		if err != nil {
			views.logger.Warn("append of a view without an answer", "error", eris.ToString(err, false))
		} else {
			views.logger.Info("view proposed", "view", offset, "previous", view.Prev, "members", len(view.Members), "departing", len(view.Departing), "reset", view.Reset)
		}
		views.mu.Lock()
		defer views.mu.Unlock()
		views.appending = false
	}()
}
