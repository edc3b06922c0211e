package bundler

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// renewalWindowsPerRetention is the number of time windows in the log's retention; a renewal may fail in all but one.
const renewalWindowsPerRetention = 8

// RenewalDue reports whether the instance must append Renewal now. Each time window is shared out by rendezvous
// hashing: an instance's hash is its turn in the first half of the window, and the one with the lowest hash comes first. It
// needs no list of instances, and a later turn takes over if an earlier instance is dead or cut off from the log.
func (bundler *Bundler) RenewalDue(now time.Time, failureDomain, instance string) bool {
	bundler.mu.Lock()
	defer bundler.mu.Unlock()
	if bundler.snapshot.Load() == nil || !bundler.contiguous() {
		return false
	}
	windowLength := bundler.current.bundle.retention.log / renewalWindowsPerRetention
	// Truncate counts from a fixed moment, so all instances share the windows up to their clock offset.
	windowStart := now.Truncate(windowLength)
	if !bundler.renewedAt.Before(windowStart) {
		return false
	}
	return !now.Before(windowStart.Add(renewalDelay(windowStart, windowLength/2, failureDomain, instance)))
}

func renewalDelay(windowStart time.Time, maxDelay time.Duration, failureDomain, instance string) time.Duration {
	sum := sha256.Sum256([]byte(strconv.FormatInt(windowStart.UnixNano(), 10) + "\x00" + failureDomain + "\x00" + instance))
	share := float64(binary.BigEndian.Uint64(sum[:8])) / math.MaxUint64
	return time.Duration(share * float64(maxDelay))
}

// Renewal returns the record that renews the bundle in force, or an error if none is.
func (bundler *Bundler) Renewal() ([]byte, error) {
	offer, ok := bundler.Offer()
	if !ok {
		return nil, eris.New("no bundle is in force")
	}
	record := offer.Record
	record.Renewal = &Renewal{Offset: offer.Offset, Through: offer.Through}
	return record.Encode()
}
