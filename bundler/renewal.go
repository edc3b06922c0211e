package bundler

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// renewalWindowsPerRetention is the number of time windows in the log's retention. The bundle is renewed once per
// window. Renewals may fail in all windows but one: one per retention keeps a copy of the bundle in the log.
const renewalWindowsPerRetention = 8

// RenewalDue reports whether the instance must append the result of Renewal now. The instances take turns by rendezvous
// hashing: in each time window, an instance's hash determines its delay within the first half of the window, and the
// instance with the shortest delay renews first. This needs no instance list, and the next instance takes over if an
// earlier one has failed or cannot reach the log.
func (bundler *Bundler) RenewalDue(now time.Time, failureDomain, instance string) bool {
	bundler.mu.Lock()
	defer bundler.mu.Unlock()
	if bundler.snapshot.Load() == nil || !bundler.contiguous() {
		return false
	}
	windowLength := bundler.current.bundle.retention.log / renewalWindowsPerRetention
	// Truncate is relative to a fixed time, so the windows are the same on all instances, apart from clock differences.
	windowStart := now.Truncate(windowLength)
	if !bundler.renewedAt.Before(windowStart) {
		return false
	}
	return !now.Before(windowStart.Add(renewalDelay(windowStart, windowLength/2, failureDomain, instance)))
}

// renewalDelay returns the instance's delay after the start of a time window, at most maxDelay.
func renewalDelay(windowStart time.Time, maxDelay time.Duration, failureDomain, instance string) time.Duration {
	sum := sha256.Sum256([]byte(strconv.FormatInt(windowStart.UnixNano(), 10) + "\x00" + failureDomain + "\x00" + instance))
	share := float64(binary.BigEndian.Uint64(sum[:8])) / math.MaxUint64
	return time.Duration(share * float64(maxDelay))
}

// Renewal returns an encoded record that renews the bundle in force, or an error if there is none.
func (bundler *Bundler) Renewal() ([]byte, error) {
	offer, ok := bundler.Offer()
	if !ok {
		return nil, eris.New("no bundle is in force")
	}
	record := offer.Record
	record.Renewal = &Renewal{Offset: offer.Offset, UnreplacedThrough: offer.UnreplacedThrough}
	return record.Encode()
}
