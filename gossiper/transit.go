package gossiper

import "time"

// transitWindow is how long a window of transit lasts. Clocks that differ by 2% drift apart by 80 ms in two windows.
const transitWindow = 2 * time.Second

// transit estimates how long messages of another instance are under way, although the clocks of the instances have
// different origins: the fastest recent message counts as immediate. It responds to messages that wait in a buffer while
// this process is paused or the network is cut.
type transit struct {
	// current and previous are the smallest differences between receiving and sending times in the current and in the
	// previous window; zero if unknown.
	current, previous time.Duration
	windowStart       time.Time
	// since is when the first message was received.
	since time.Time
}

// record records a message that was sent at sentUS on the sender's clock, or 0 if unknown, and received at now. A window
// ends with the first message after its time, so that after a pause of any length the previous window still holds
// messages from before it.
func (transit *transit) record(sentUS int64, now time.Time) {
	if sentUS <= 0 {
		return
	}
	difference := now.Sub(time.UnixMicro(sentUS))
	switch {
	case transit.windowStart.IsZero():
		transit.current, transit.previous, transit.windowStart, transit.since = difference, difference, now, now
	case now.Sub(transit.windowStart) > transitWindow:
		transit.current, transit.previous, transit.windowStart = difference, transit.current, now
	default:
		transit.current = min(transit.current, difference)
	}
}

// delay returns how much longer than the fastest recent message a message was under way; 0 if unknown.
func (transit *transit) delay(sentUS int64, now time.Time) time.Duration {
	if sentUS <= 0 || transit.windowStart.IsZero() {
		return 0
	}
	return max(0, now.Sub(time.UnixMicro(sentUS))-min(transit.current, transit.previous))
}

// knownAt reports whether a message was received before the given time.
func (transit *transit) knownAt(at time.Time) bool {
	return !transit.since.IsZero() && transit.since.Before(at)
}
