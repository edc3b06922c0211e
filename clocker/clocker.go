package clocker

import (
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started as a time after 1970; it goes on while the machine is suspended,
// so that deadlines are over when a suspended instance wakes, and it ignores steps of the time of day.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(eris.Wrap(err, "reading the clock"))
	}
	return time.Unix(now.Unix())
}
