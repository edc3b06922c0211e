package executor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/scheduler"
)

// The starts of one wide job fill a narrow link, so each must wait longer for its answer than the one before, and a
// request on an idle link must not. The load is the loop checks of the small twins of the large deployment.
func TestUplinkDelaysFollowItsBacklog(t *testing.T) {
	is := is.New(t)
	uplink, now := newUplink(2), time.Unix(1_000_000, 0)
	for number := range 32 {
		want := time.Duration(number+1) * (4000 + requestOverhead) * 4 * time.Microsecond
		is.Equal(uplink.Send(4000, now).Round(time.Millisecond), want.Round(time.Millisecond))
	}
	now = now.Add(time.Second)
	is.Equal(uplink.Send(0, now), requestOverhead*4*time.Microsecond)
	is.Equal(newUplink(0).Send(4000, now), time.Duration(0))
}

// A job of thousands of tasks on a narrow link must not delay the detection of unreachable targets by minutes.
func TestUplinkDelayIsBounded(t *testing.T) {
	is := is.New(t)
	uplink, now := newUplink(2), time.Unix(1_000_000, 0)
	for range 10_000 {
		is.True(uplink.Send(4000, now) <= scheduler.LeaseDuration)
	}
	is.Equal(uplink.Send(0, now.Add(scheduler.LeaseDuration)), requestOverhead*4*time.Microsecond)
}
