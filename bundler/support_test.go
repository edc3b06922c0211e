package bundler

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"strings"
	"testing"
	"time"
)

// operator returns a signer with a fixed key.
func operator(name string) (Signer, string) {
	key := ed25519.NewKeyFromSeed(bytes.Repeat([]byte(name[:1]), ed25519.SeedSize))
	return NewSigner(name, key), FormatKey(name, key.Public().(ed25519.PublicKey))
}

var (
	linh, linhKey = operator("linh")
	asha, ashaKey = operator("asha")
	mallory, _    = operator("mallory")
	testKeys, _   = ParseKeys(linhKey + "," + ashaKey)
	start         = time.Unix(1_800_000_000, 0)
)

// bundleText returns a bundle that lint accepts; note tells bundles of one version apart.
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

// signed returns the record of text that replaces the record at an offset.
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

func renewal(record Record, offset, through int64) Record {
	record.Renewal = &Renewal{Offset: offset, Through: through}
	return record
}

func encode(record Record) []byte {
	data, err := record.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

// page returns records from the offset earliest on as a page that ends the log.
func page(earliest int64, records ...Record) Page {
	page := Page{Earliest: earliest, Next: earliest + int64(len(records))}
	for i, record := range records {
		page.Entries = append(page.Entries, Entry{Offset: earliest + int64(i), Data: encode(record)})
	}
	return page
}

// follower is what the cases run: the bundler, or the naive version that they must expose.
type follower interface {
	NextOffset() int64
	ApplyPage(Page, time.Time) []Event
	HandleOffer(Offer, time.Time) ([]Event, error)
	Offer() (Offer, bool)
}

// naive puts the newest record that parses in force, from the log or from a peer.
type naive struct {
	next  int64
	offer Offer
	known bool
}

func (naive *naive) NextOffset() int64 { return naive.next }

func (naive *naive) ApplyPage(page Page, _ time.Time) []Event {
	for _, entry := range page.Entries {
		naive.next = entry.Offset + 1
		if record, err := DecodeRecord(entry.Data); err == nil {
			_, _ = naive.HandleOffer(Offer{Record: record, Offset: entry.Offset}, start)
		}
	}
	return nil
}

func (naive *naive) HandleOffer(offer Offer, _ time.Time) ([]Event, error) {
	if _, err := parseText(offer.Record.Text); err != nil {
		return nil, err
	}
	naive.offer, naive.known = offer, true
	return nil, nil
}

func (naive *naive) Offer() (Offer, bool) { return naive.offer, naive.known }

// inForce returns the note of the bundle in force, or an empty string.
func inForce(follower follower) string {
	offer, ok := follower.Offer()
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
