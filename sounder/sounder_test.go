package sounder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A sounding must end once this process polls the network, count from its start, and be possible again.
func TestSoundingEnds(t *testing.T) {
	is := is.New(t)
	finished := make(chan struct{}, 1)
	sounder, err := New(time.Now, func() { finished <- struct{}{} })
	is.NoErr(err)
	defer sounder.Close()
	for range 3 {
		before := time.Now()
		sounder.Start()
		sounder.Start() // is under way
		<-finished
		is.True(!sounder.ReadUntil().Before(before))
		is.True(!sounder.ReadUntil().After(time.Now()))
	}
}

// A sounder that is closed must not block.
func TestClosedSounderDoesNothing(t *testing.T) {
	is := is.New(t)
	sounder, err := New(time.Now, func() {})
	is.NoErr(err)
	until := sounder.ReadUntil()
	sounder.Close()
	sounder.Start()
	is.Equal(sounder.ReadUntil(), until)
}
