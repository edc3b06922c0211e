package executor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/scheduler"
)

// The time since a target's start must be measured on the clock of day that names incarnations: the executor's clock counts from the boot.
func TestTimeSinceStartIsToldOnTheClockOfDay(t *testing.T) {
	is := is.New(t)
	now, wall := time.UnixMilli(50_000), time.UnixMilli(1_800_000_000_000)
	guarded := scheduler.TargetGuarded{Incarnation: wall.UnixMilli() - 40, At: now.Add(-10 * time.Millisecond)}
	is.Equal(sinceStart(&guarded, now, wall), 30*time.Millisecond)
}
