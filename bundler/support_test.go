package bundler

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"strings"
	"testing"
	"time"
)

// testSigner returns a signer with a fixed key, and its public key in the form that ParseKeys accepts.
func testSigner(name string) (Signer, string) {
	key := ed25519.NewKeyFromSeed(bytes.Repeat([]byte(name[:1]), ed25519.SeedSize))
	return NewSigner(name, key), FormatKey(name, key.Public().(ed25519.PublicKey))
}

var (
	linh, linhKey = testSigner("linh")
	asha, ashaKey = testSigner("asha")
	mallory, _    = testSigner("mallory")
	testKeys, _   = ParseKeys(linhKey + "," + ashaKey)
	start         = time.Unix(1_800_000_000, 0)
)

// bundleText returns the text of a bundle without lint findings; note distinguishes bundles with the same version.
func bundleText(version int64, note string, extra ...string) string {
	return fmt.Sprintf(`# %s
[bundle]
version = %d
[retention]
log-seconds = 60
[failure-domain hanoi-a]
[target runner-1]
failure-domain = hanoi-a
service = loops
address = 127.0.0.1:1
slots = 8
[kind loop-check]
service = loops
repeatable = true
[objective loop-check]
within-ms = 400
target-percent = 99.5
[team heating]
max-in-flight = 100
`, note, version) + strings.Join(extra, "\n")
}

// signed returns the signed record of text that replaces the record at the offset replaces.
func signed(text string, replaces int64) Record {
	record, err := linh.SignAsAuthor(text)
	if err == nil {
		record, err = asha.Approve(record, testKeys)
	}
	if err != nil {
		panic(err)
	}
	if replaces != noOffset {
		record.Replaces = &replaces
	}
	return record
}

func publishRecord(version, replaces int64, note string) Record {
	return signed(bundleText(version, note), replaces)
}

func renewal(record Record, offset, unreplacedThrough int64) Record {
	record.Renewal = &Renewal{Offset: offset, UnreplacedThrough: unreplacedThrough}
	return record
}

func encode(record Record) []byte {
	data, err := record.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

// page returns a page of records that starts at the offset earliest and reaches the end of the log.
func page(earliest int64, records ...Record) Page {
	page := Page{Earliest: earliest, Next: earliest + int64(len(records))}
	for i, record := range records {
		page.Entries = append(page.Entries, Entry{Offset: earliest + int64(i), Data: encode(record)})
	}
	return page
}

// consumer is the interface under test. Bundler implements it, and so does naiveConsumer, which must fail the tests.
type consumer interface {
	NextOffset() int64
	ApplyPage(Page, time.Time) []Event
	HandleOffer(Offer, time.Time) ([]Event, error)
	Offer() (Offer, bool)
}

// naiveConsumer is the naive version of a consumer, which is faulty: it puts every record that parses in force, whether
// it comes from the log or from a peer.
type naiveConsumer struct {
	next  int64
	offer Offer
	known bool
}

func (naive *naiveConsumer) NextOffset() int64 { return naive.next }

func (naive *naiveConsumer) ApplyPage(page Page, _ time.Time) []Event {
	for _, entry := range page.Entries {
		naive.next = entry.Offset + 1
		if record, err := DecodeRecord(entry.Data); err == nil {
			_, _ = naive.HandleOffer(Offer{Record: record, Offset: entry.Offset}, start)
		}
	}
	return nil
}

func (naive *naiveConsumer) HandleOffer(offer Offer, _ time.Time) ([]Event, error) {
	if _, err := parseText(offer.Record.Text); err != nil {
		return nil, err
	}
	naive.offer, naive.known = offer, true
	return nil, nil
}

func (naive *naiveConsumer) Offer() (Offer, bool) { return naive.offer, naive.known }

// inForceNote returns the note of the bundle in force, or an empty string if there is none.
func inForceNote(consumer consumer) string {
	offer, ok := consumer.Offer()
	if !ok {
		return ""
	}
	line, _, _ := strings.Cut(offer.Record.Text, "\n")
	return strings.TrimPrefix(line, "# ")
}

func mustParse(t testing.TB, text string) *Bundle {
	t.Helper()
	bundle, err := parseText(text)
	if err != nil {
		t.Fatalf("parsing: %v", err)
	}
	return bundle
}
