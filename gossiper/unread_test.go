package gossiper

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An instance with too little processor time checked its peers in time and did not read what they had sent: it took those of
// which it had read nothing for lost, often nearly all at once.
func TestUnreadMessagesAreNotTakenForSilence(t *testing.T) {
	const check = 150 * time.Millisecond
	for _, test := range []struct {
		name string
		// readAt is at which check this instance reads what has arrived; it contains a message if sent.
		readAt int
		sent   bool
		lostAt int
	}{
		{"read in time, and silent", 1, false, 4},
		{"read late, and silent", 5, false, 5},
		{"read late, and not silent", 5, true, 9},
		{"not read", 100, false, 7},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			gossiper, recorder, now := newTestGossiper(0.4)
			readUntil := *now
			gossiper.readUntil = func() time.Time { return readUntil }
			gossiper.contact("peer", 0.4)
			for i := 1; i <= test.lostAt; i++ {
				is.Equal(len(recorder.lost), 0)
				*now = now.Add(check)
				if i >= test.readAt {
					readUntil = *now
				}
				if i == test.readAt && test.sent {
					gossiper.contact("peer", 0.4)
				}
				gossiper.detectLostPeers()
			}
			is.Equal(recorder.lost, []string{"peer"})
		})
	}
}
