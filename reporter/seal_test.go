package reporter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a damaged or cut record that is still decoded, whose wrong counts would pass as measured ones.
func TestDamagedRecordsAreRejected(t *testing.T) {
	is := is.New(t)
	reporter := testReporter(1000, 1000)
	reporter.Record(testAnswer("", "check", "team", Own), testStart)
	batch, _ := reporter.Batch(testStart.Add(time.Minute), false)
	data, err := batch.Encode()
	is.NoErr(err)
	_, err = Decode(data)
	is.NoErr(err)
	for i := range data {
		for bit := range 8 {
			damaged := append([]byte(nil), data...)
			damaged[i] ^= 1 << bit
			_, err := Decode(damaged)
			is.True(err != nil) // one changed bit
		}
		_, err := Decode(data[:i])
		is.True(err != nil) // cut
	}
}

// Guards against incarnations and objectives without bound from a faulty writer.
func TestLedgerIsBounded(t *testing.T) {
	is := is.New(t)
	ledger := NewLedger()
	for i := range maxLedgerIncarnations + 10 {
		name := Series{Kind: string(rune(0x1000 + i))}.Kind
		ledger.Add(Batch{incarnation: name, minutes: []closedMinute{{minute: minuteOf(testStart)}}, objectives: map[string]Objective{name: {}}}, testStart)
	}
	is.Equal(len(ledger.incarnations), maxLedgerIncarnations)
	is.Equal(len(ledger.objectives), maxLedgerSeries)
	is.Equal(ledger.unreadable, 10) // reports name the records that were left out
}
