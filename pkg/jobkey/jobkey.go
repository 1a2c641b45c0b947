package jobkey

import (
	"crypto/rand"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

const (
	// MaxLength is the longest key accepted, in bytes.
	MaxLength = 96

	prefix     = "g1"
	fieldCount = 5
	randomSize = 16
	base       = 36
)

// ErrInvalid reports text that is no key.
var ErrInvalid = merry.Sentinel("invalid key")

// Key identifies a job. The zero value is no key; make one with New or Parse.
type Key struct {
	text     string
	region   string
	birth    uint64
	deadline time.Time
}

// New returns a fresh key of the region, born at the given epoch, with the
// deadline rounded down to a millisecond. Region must satisfy ValidName.
func New(region string, birth uint64, deadline time.Time) Key {
	ms := deadline.UnixMilli()
	text := strings.Join([]string{
		prefix,
		region,
		strconv.FormatUint(birth, base),
		strconv.FormatInt(ms, base),
		rand.Text()[:randomSize],
	}, ".")
	return Key{text: text, region: region, birth: birth, deadline: time.UnixMilli(ms)}
}

// Parse reads a generated or a plain key. It returns ErrInvalid for text that
// is empty, too long, has characters other than letters, digits and "-_:.",
// or starts like a generated key without being one.
func Parse(text string) (Key, error) {
	if text == "" || len(text) > MaxLength {
		return Key{}, merry.Appendf(ErrInvalid, "length must be 1 to %d bytes", MaxLength)
	}
	if !allowed(text) {
		return Key{}, merry.Append(ErrInvalid, "only letters, digits and -_:. are allowed")
	}
	if !strings.HasPrefix(text, prefix+".") {
		return Key{text: text}, nil
	}
	return parseGenerated(text)
}

func parseGenerated(text string) (Key, error) {
	fields := strings.Split(text, ".")
	if len(fields) != fieldCount || !ValidName(fields[1]) || fields[4] == "" {
		return Key{}, merry.Append(ErrInvalid, "want g1.region.birth.deadline.random")
	}
	birth, err := strconv.ParseUint(fields[2], base, 64)
	if err != nil {
		return Key{}, merry.Append(ErrInvalid, "birth is no number")
	}
	ms, err := strconv.ParseInt(fields[3], base, 64)
	if err != nil || ms <= 0 {
		return Key{}, merry.Append(ErrInvalid, "deadline is no time")
	}
	return Key{text: text, region: fields[1], birth: birth, deadline: time.UnixMilli(ms)}, nil
}

// String returns the key's text.
func (k Key) String() string { return k.text }

// IsZero tells whether k is no key.
func (k Key) IsZero() bool { return k.text == "" }

// Plain tells whether the caller chose the key itself.
func (k Key) Plain() bool { return k.deadline.IsZero() }

// Region returns the region that a generated key belongs to, or "".
func (k Key) Region() string { return k.region }

// Birth returns the epoch that a generated key was made in, or 0.
func (k Key) Epoch() uint64 { return k.birth }

// Deadline returns the deadline of a generated key, or the zero time.
func (k Key) Deadline() time.Time { return k.deadline }

// Shard returns the key's shard among n. It panics if n is not positive.
func (k Key) Shard(n int) int {
	if n <= 0 {
		panic("jobkey: shard count must be positive")
	}
	return int(xxhash.Sum64String(k.text) % uint64(n))
}

// ValidName tells whether s may name a region, service, entry, owner or
// process: 1 to 48 lower-case letters, digits and dashes.
func ValidName(s string) bool {
	const maxName = 48
	if s == "" || len(s) > maxName {
		return false
	}
	for _, r := range s {
		if r != '-' && (r < 'a' || r > 'z') && (r < '0' || r > '9') {
			return false
		}
	}
	return true
}

func allowed(s string) bool {
	for _, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && !strings.ContainsRune("-_:.", r) {
			return false
		}
	}
	return true
}
