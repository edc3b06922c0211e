package clocker

import (
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Now returns the time since boot (CLOCK_BOOTTIME) as an offset from the Unix epoch. The clock keeps counting while the
// machine is suspended, so that deadlines have expired when a suspended instance resumes. Steps of the wall clock do
// not affect it.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(eris.Wrap(err, "reading CLOCK_BOOTTIME"))
	}
	return time.Unix(now.Unix())
}
