package keeper

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	issuedMark = "~"
	// soloMark distinguishes the third field of a solo key from a slice number.
	soloMark = "solo-"
)

// KeyForm is the form of a key.
type KeyForm uint8

// Forms of a key.
const (
	// PlainKey is any text that does not begin with a tilde.
	PlainKey KeyForm = iota
	// IssuedKey is ~domain.epoch.slice.text.
	IssuedKey
	// SoloKey is ~domain.incarnation.solo-generation.text.
	SoloKey
)

// Key is a parsed idempotency key.
type Key struct {
	text        string
	form        KeyForm
	domain      string
	incarnation string
	// number is the epoch of an issued key and the generation of a solo key.
	number int64
	slice  int
}

// ParseKey returns the parts of an idempotency key; text that begins with a tilde must have one of the
// forms that the system issues.
func ParseKey(text string) (Key, error) {
	if text == "" {
		return Key{}, eris.New("key is empty")
	}
	if !strings.HasPrefix(text, issuedMark) {
		return Key{text: text, form: PlainKey, slice: sliceOf(text)}, nil
	}
	domain, rest, _ := strings.Cut(text[len(issuedMark):], ".")
	issuer, rest, _ := strings.Cut(rest, ".")
	part, suffix, _ := strings.Cut(rest, ".")
	if domain == "" || issuer == "" || suffix == "" {
		return Key{}, eris.New("key begins with ~ but is not an issued key: want ~domain.epoch.slice.text")
	}
	key := Key{text: text, domain: domain}
	if generation, found := strings.CutPrefix(part, soloMark); found {
		number, ok := parseNumber(generation)
		if !ok {
			return Key{}, eris.Errorf("key has the generation %q, want a number", generation)
		}
		key.form, key.incarnation, key.number, key.slice = SoloKey, issuer, number, sliceOf(text)
		return key, nil
	}
	epoch, epochValid := parseNumber(issuer)
	slice, sliceValid := parseNumber(part)
	if !epochValid || !sliceValid || slice >= SliceCount {
		return Key{}, eris.Errorf("key has the epoch %q and the slice %q, want a number and 0 to %d", issuer, part, SliceCount-1)
	}
	key.form, key.number, key.slice = IssuedKey, epoch, int(slice)
	return key, nil
}

// parseNumber accepts only the form that the system writes.
func parseNumber(text string) (int64, bool) {
	number, err := strconv.ParseInt(text, 10, 64)
	return number, err == nil && number >= 0 && strconv.FormatInt(number, 10) == text
}

// String returns the key as the caller sent it.
func (key Key) String() string { return key.text }

// Form returns the key's form.
func (key Key) Form() KeyForm { return key.form }

// Domain returns the key's home failure domain, empty for a plain key (see HomeDomain).
func (key Key) Domain() string { return key.domain }

// Slice returns the slice that the key belongs to.
func (key Key) Slice() int { return key.slice }

// Epoch returns the number of the view in which an issued key's prefix was issued, 0 for other keys.
func (key Key) Epoch() int64 {
	if key.form != IssuedKey {
		return 0
	}
	return key.number
}

func issuedPrefix(domain string, epoch int64, slice int) string {
	return issuedMark + domain + "." + strconv.FormatInt(epoch, 10) + "." + strconv.Itoa(slice) + "."
}

func soloPrefix(domain, incarnation string, generation int64) string {
	return issuedMark + domain + "." + incarnation + "." + soloMark + strconv.FormatInt(generation, 10) + "."
}

// HomeDomain returns the failure domain among domains that decides a plain key; domains must not be empty.
func HomeDomain(key string, domains []string) string {
	home, best := "", uint64(0)
	for _, domain := range domains {
		if score := mix(hashText(key) ^ mix(hashText(domain))); home == "" || score > best || score == best && domain < home {
			home, best = domain, score
		}
	}
	return home
}

func sliceOf(text string) int { return int(mix(hashText(text)) % SliceCount) }

// hashText is FNV-1a: every instance must compute the same slices, so the hash has no seed.
func hashText(text string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * prime
	}
	return hash
}

// mix spreads a hash over all bits (the finalizer of splitmix64), because FNV-1a barely changes the high
// bits of texts that differ only in their last byte.
func mix(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}
