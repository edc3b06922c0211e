package supervisor

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/follower"
	"github.com/hyssoplift/hyssoplift/platform"
)

// cancellationTopic is a cancellationStore that holds one topic.
type cancellationTopic struct {
	mu      sync.Mutex
	records map[string]string
	writes  int
	reads   int
	// down makes all calls fail.
	down bool
}

func (topic *cancellationTopic) Put(_ context.Context, name, key string, value []byte) error {
	topic.mu.Lock()
	defer topic.mu.Unlock()
	topic.writes++
	switch {
	case topic.down || name != platform.CancellationTopic:
		return eris.New("store is down")
	case len(value) == 0:
		delete(topic.records, key)
	default:
		topic.records[key] = string(value)
	}
	return nil
}

func (topic *cancellationTopic) Newest(context.Context, string) ([]follower.Record, int64, error) {
	topic.mu.Lock()
	defer topic.mu.Unlock()
	topic.reads++
	if topic.down {
		return nil, 0, eris.New("store is down")
	}
	var records []follower.Record
	for key, value := range topic.records {
		records = append(records, follower.Record{Key: key, Value: []byte(value)})
	}
	return records, 0, nil
}

func (topic *cancellationTopic) setDown(down bool) {
	topic.mu.Lock()
	defer topic.mu.Unlock()
	topic.down = down
}

func (topic *cancellationTopic) counts() (records, writes, reads int) {
	topic.mu.Lock()
	defer topic.mu.Unlock()
	return len(topic.records), topic.writes, topic.reads
}

// recordingCanceller is a canceller that records the cancelled jobs.
type recordingCanceller struct {
	mu        sync.Mutex
	cancelled map[string]bool
	missed    bool
}

func (canceller *recordingCanceller) ApplyCancellations(jobs []string) {
	canceller.mu.Lock()
	defer canceller.mu.Unlock()
	for _, job := range jobs {
		canceller.cancelled[job] = true
	}
}

func (canceller *recordingCanceller) MayHaveMissedCancellations() bool {
	canceller.mu.Lock()
	defer canceller.mu.Unlock()
	return canceller.missed
}

func (canceller *recordingCanceller) setMissed(missed bool) {
	canceller.mu.Lock()
	defer canceller.mu.Unlock()
	canceller.missed = missed
}

func (canceller *recordingCanceller) has(job string) bool {
	canceller.mu.Lock()
	defer canceller.mu.Unlock()
	return canceller.cancelled[job]
}

const archivedJob = "00000000000000ab"

// archived reports whether the store has a cancellation.
func archived(recorded <-chan struct{}) bool {
	select {
	case <-recorded:
		return true
	default:
		return false
	}
}

// newTestArchive returns an archive that follows its topic until the test ends.
func newTestArchive(t *testing.T, self string, topic *cancellationTopic) (*cancellationArchive, *recordingCanceller) {
	canceller := &recordingCanceller{cancelled: make(map[string]bool)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	archive := newCancellationArchive(ctx, self, topic, canceller, time.Now, hclog.NewNullLogger())
	go archive.follow()
	return archive, canceller
}

// An instance that was cut off or paused while a job was cancelled must learn of it from the store, and the store must be read only while
// something may have been missed.
func TestMissedCancellationsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		topic := &cancellationTopic{records: make(map[string]string)}
		_, canceller := newTestArchive(t, "node-1", topic)
		time.Sleep(time.Minute)
		_, _, reads := topic.counts()
		is.Equal(reads, 1)
		canceller.setMissed(true)
		time.Sleep(time.Second)
		is.NoErr(topic.Put(t.Context(), platform.CancellationTopic, archivedJob, []byte("node-2")))
		is.NoErr(topic.Put(t.Context(), platform.CancellationTopic, "of another writer", []byte("x")))
		canceller.setMissed(false)
		time.Sleep(cancellationReadInterval)
		is.True(canceller.has(archivedJob)) // it was written after the first read, before all instances were in touch
		is.True(!canceller.has("of another writer"))
		_, _, reads = topic.counts()
		is.Equal(reads, 3)
		time.Sleep(time.Minute)
		_, _, reads = topic.counts()
		is.Equal(reads, 3)

		topic.setDown(true)
		canceller.setMissed(true)
		time.Sleep(time.Second)
		canceller.setMissed(false)
		time.Sleep(10 * time.Second)
		topic.setDown(false)
		_, before, _ := topic.counts()
		_, _, reads = topic.counts()
		time.Sleep(cancellationReadInterval + cancellationCheckInterval)
		_, after, next := topic.counts()
		is.Equal(before, after)
		is.True(next > reads) // a read that failed is repeated
	})
}

// A cancellation must be written although the store is away at first, and the store must not keep it for ever, also if the instance that
// has written it is started anew meanwhile.
func TestCancellationIsArchivedForAMinute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		topic := &cancellationTopic{records: make(map[string]string), down: true}
		archive, _ := newTestArchive(t, "node-1", topic)
		recorded := archive.Archive(archivedJob)
		time.Sleep(3 * time.Second)
		is.True(!archived(recorded))
		topic.setDown(false)
		time.Sleep(2 * maxCancellationRetryDelay)
		is.True(archived(recorded))
		is.True(archived(archive.Archive(archivedJob))) // it is there
		records, writes, _ := topic.counts()
		is.Equal(records, 1)
		time.Sleep(cancellationRetention)
		records, afterwards, _ := topic.counts()
		is.Equal(records, 0)
		is.Equal(afterwards, writes+1)

		is.NoErr(topic.Put(t.Context(), platform.CancellationTopic, archivedJob, []byte("node-2")))
		_, canceller := newTestArchive(t, "node-2", topic) // the next incarnation
		time.Sleep(cancellationRetention / 2)
		is.True(canceller.has(archivedJob))
		records, _, _ = topic.counts()
		is.Equal(records, 1)
		time.Sleep(cancellationRetention)
		records, _, _ = topic.counts()
		is.Equal(records, 0)
	})
}

// The store must not be flooded with cancellations.
func TestArchivedCancellationsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		topic := &cancellationTopic{records: make(map[string]string)}
		archive, _ := newTestArchive(t, "node-1", topic)
		for number := range maxArchivedCancellations {
			archive.Archive(archivedJob[:12] + string([]byte{hex(number >> 12), hex(number >> 8), hex(number >> 4), hex(number)}))
		}
		is.True(archive.Archive("ffffffffffffffff") == nil)
		time.Sleep(time.Second)
		records, _, _ := topic.counts()
		is.Equal(records, maxArchivedCancellations)
	})
}

func hex(digit int) byte { return "0123456789abcdef"[digit&15] }
