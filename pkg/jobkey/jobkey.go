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
	// MaxLength is the length of the longest valid key, in bytes.
	MaxLength = 96

	generatedPrefix = "g1" // first field of generated keys
	fieldCount      = 5    // number of fields of generated keys
	randomLength    = 16   // number of characters of the random field
	numberBase      = 36   // base of the epoch and the deadline in the text
)

// ErrInvalid means that a text is not a valid key.
var ErrInvalid = merry.Sentinel("invalid key")

// Key identifies a job. The zero value is not a valid key; New and Parse return valid
// ones.
type Key struct {
	text     string
	region   string    // empty for a plain key
	epoch    uint64    // 0 for a plain key
	deadline time.Time // zero for a plain key
}

// New returns a new generated key, unique by its random part, with the given region,
// roster epoch and deadline. The deadline is rounded down to a millisecond. The region
// must satisfy ValidName.
func New(region string, epoch uint64, deadline time.Time) Key {
	ms := deadline.UnixMilli()
	text := strings.Join([]string{
		generatedPrefix,
		region,
		strconv.FormatUint(epoch, numberBase),
		strconv.FormatInt(ms, numberBase),
		rand.Text()[:randomLength],
	}, ".")
	return Key{text: text, region: region, epoch: epoch, deadline: time.UnixMilli(ms)}
}

// Parse parses a generated or a plain key. It returns ErrInvalid if text is empty, is
// longer than MaxLength, contains characters other than ASCII letters, digits and
// "-_:.", or starts like a generated key without being one.
func Parse(text string) (Key, error) {
	if text == "" || len(text) > MaxLength {
		return Key{}, merry.Appendf(ErrInvalid, "length must be 1 to %d bytes", MaxLength)
	}
	if !hasOnlyAllowedChars(text) {
		return Key{}, merry.Append(ErrInvalid, "only letters, digits and -_:. are allowed")
	}
	if !strings.HasPrefix(text, generatedPrefix+".") {
		return Key{text: text}, nil
	}
	return parseGenerated(text)
}

// parseGenerated parses text that starts like a generated key.
func parseGenerated(text string) (Key, error) {
	fields := strings.Split(text, ".")
	if len(fields) != fieldCount || !ValidName(fields[1]) || fields[4] == "" {
		return Key{}, merry.Append(ErrInvalid, "a generated key must have the form g1.region.epoch.deadline.random")
	}
	epoch, err := strconv.ParseUint(fields[2], numberBase, 64)
	if err != nil {
		return Key{}, merry.Append(ErrInvalid, "epoch is not a number")
	}
	ms, err := strconv.ParseInt(fields[3], numberBase, 64)
	if err != nil || ms <= 0 {
		return Key{}, merry.Append(ErrInvalid, "deadline is not a time")
	}
	return Key{text: text, region: fields[1], epoch: epoch, deadline: time.UnixMilli(ms)}, nil
}

// String returns the key's text.
func (k Key) String() string { return k.text }

// IsZero reports whether k is the zero value.
func (k Key) IsZero() bool { return k.text == "" }

// Plain reports whether k is a plain key, which the caller chose.
func (k Key) Plain() bool { return k.deadline.IsZero() }

// Region returns the region of a generated key. It returns the empty string for others.
func (k Key) Region() string { return k.region }

// Epoch returns the roster epoch known when a generated key was created. It returns 0
// for others.
func (k Key) Epoch() uint64 { return k.epoch }

// Deadline returns the deadline of a generated key. It returns the zero time for others.
func (k Key) Deadline() time.Time { return k.deadline }

// Shard returns the number of the shard that k belongs to, of n shards numbered from 0.
// It panics if n is not positive.
func (k Key) Shard(n int) int {
	if n <= 0 {
		panic("jobkey: shard count must be positive")
	}
	return int(xxhash.Sum64String(k.text) % uint64(n))
}

// ValidName reports whether s is valid as the name of a region, service, entry, owner or
// process: 1 to 48 lower-case ASCII letters, digits and dashes.
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

// hasOnlyAllowedChars reports whether all characters of s may occur in a key.
func hasOnlyAllowedChars(s string) bool {
	for _, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && !strings.ContainsRune("-_:.", r) {
			return false
		}
	}
	return true
}
