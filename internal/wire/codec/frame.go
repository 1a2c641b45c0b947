package codec

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

const (
	// defaultMaxMessage bounds a header or body, in bytes of cost (see valueCost).
	defaultMaxMessage = 512 << 20
	// freeMessage is the cost of a message up to which no reservation is made.
	freeMessage = 64 << 10
	// valueCost is what a value costs beside its own bytes when it is decoded. A list of empty
	// values takes a byte for each.
	valueCost = 64
	// maxDepth bounds arrays within arrays. Skipping a value recurses once for each level.
	maxDepth = 32
	// readStep is how far the buffer grows before the bytes for it have arrived.
	readStep = 16 << 10
	// stallTimeout is how long the sender may pause within a message, and messageTimeout how long
	// it may take for all of it. Between messages it may pause at will.
	stallTimeout   = 5 * time.Second
	messageTimeout = 30 * time.Second
)

// Errors of reading a message.
var (
	ErrMalformed = merry.Sentinel("malformed message")
	ErrTooLarge  = merry.Sentinel("message too large")
)

// Limits bound the messages of a connection. Zero fields mean the default or no bound.
type Limits struct {
	MaxMessage int64                        // cost of a message, in bytes
	Reserve    func(bytes, held int64) bool // reserves memory for a message, beside what is held for it
	Release    func(bytes int64)            // returns them
	// SetReadDeadline sets the time by which reads must succeed; the zero time means never.
	SetReadDeadline func(time.Time) error
}

// frame reads one value after the other from a connection, each whole before it is decoded, so
// that no announced length allocates memory before as many bytes have arrived.
type frame struct {
	r        *bufio.Reader
	limits   Limits
	buf      []byte    // the value
	values   int64     // number of values within the value
	reserved int64     // bytes
	deadline time.Time // for the whole value; zero unless its parts arrived apart
	source   bytes.Reader
	dec      *msgpack.Decoder
}

func newFrame(r *bufio.Reader, limits Limits) *frame {
	if limits.MaxMessage <= 0 {
		limits.MaxMessage = defaultMaxMessage
	}
	f := &frame{r: r, limits: limits}
	f.dec = msgpack.NewDecoder(&f.source)
	return f
}

// next reads the next value and returns a decoder for it, which is valid until the next call.
func (f *frame) next() (*msgpack.Decoder, error) {
	if cap(f.buf) > freeMessage {
		f.buf, f.dec = nil, msgpack.NewDecoder(&f.source)
	}
	f.buf, f.values = f.buf[:0], 0
	var left [maxDepth]uint64 // values to read at each depth
	depth := 0
	left[0] = 1
	for depth >= 0 {
		if left[depth] == 0 {
			depth--
			continue
		}
		left[depth]--
		n, err := f.readValue()
		if err != nil {
			return nil, err
		}
		if n > 0 {
			if depth++; depth == maxDepth {
				return nil, ErrMalformed
			}
			left[depth] = n
		}
	}
	if !f.deadline.IsZero() {
		f.deadline = time.Time{}
		if err := f.limits.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
	}
	f.source.Reset(f.buf)
	f.dec.Reset(&f.source)
	return f.dec, nil
}

// release returns what was reserved for the latest value.
func (f *frame) release() {
	if f.reserved > 0 {
		f.limits.Release(f.reserved)
		f.reserved = 0
	}
}

// readValue reads a value without the values within it and returns the number of those.
func (f *frame) readValue() (inner uint64, err error) {
	f.values++
	start := len(f.buf)
	if err := f.read(1); err != nil {
		return 0, err
	}
	c := f.buf[start]
	switch {
	case msgpcode.IsFixedNum(c), c == msgpcode.Nil, c == msgpcode.False, c == msgpcode.True:
		return 0, nil
	case msgpcode.IsFixedString(c):
		return 0, f.read(uint64(c & msgpcode.FixedStrMask))
	case msgpcode.IsFixedArray(c):
		return uint64(c & msgpcode.FixedArrayMask), nil
	case msgpcode.IsFixedMap(c):
		return 2 * uint64(c&msgpcode.FixedMapMask), nil
	}
	form, ok := forms[c]
	if !ok {
		return 0, ErrMalformed
	}
	length := form.fixed
	if form.lengthBytes > 0 {
		at := len(f.buf)
		if err := f.read(uint64(form.lengthBytes)); err != nil {
			return 0, err
		}
		var digits [8]byte
		copy(digits[8-form.lengthBytes:], f.buf[at:])
		length += binary.BigEndian.Uint64(digits[:])
	}
	if form.inner > 0 {
		return length * form.inner, nil
	}
	return 0, f.read(length)
}

// form is the form of the values that begin with a certain byte: the length of the length that
// follows, the number of bytes beside it, and the number of inner values for each of the length.
type form struct {
	lengthBytes int
	fixed       uint64
	inner       uint64
}

// forms are the forms of MessagePack values, without those that hold their length in the first
// byte. A byte more than the length follows in extensions, which tells their type.
var forms = map[byte]form{
	msgpcode.Uint8: {0, 1, 0}, msgpcode.Uint16: {0, 2, 0}, msgpcode.Uint32: {0, 4, 0}, msgpcode.Uint64: {0, 8, 0},
	msgpcode.Int8: {0, 1, 0}, msgpcode.Int16: {0, 2, 0}, msgpcode.Int32: {0, 4, 0}, msgpcode.Int64: {0, 8, 0},
	msgpcode.Float: {0, 4, 0}, msgpcode.Double: {0, 8, 0},
	msgpcode.Str8: {1, 0, 0}, msgpcode.Str16: {2, 0, 0}, msgpcode.Str32: {4, 0, 0},
	msgpcode.Bin8: {1, 0, 0}, msgpcode.Bin16: {2, 0, 0}, msgpcode.Bin32: {4, 0, 0},
	msgpcode.Array16: {2, 0, 1}, msgpcode.Array32: {4, 0, 1}, msgpcode.Map16: {2, 0, 2}, msgpcode.Map32: {4, 0, 2},
	msgpcode.FixExt1: {0, 2, 0}, msgpcode.FixExt2: {0, 3, 0}, msgpcode.FixExt4: {0, 5, 0}, msgpcode.FixExt8: {0, 9, 0},
	msgpcode.FixExt16: {0, 17, 0}, msgpcode.Ext8: {1, 1, 0}, msgpcode.Ext16: {2, 1, 0}, msgpcode.Ext32: {4, 1, 0},
}

// read appends n bytes of the connection to the buffer. The buffer grows as they arrive.
func (f *frame) read(n uint64) error {
	if n > uint64(f.limits.MaxMessage) {
		return ErrTooLarge
	}
	for n > 0 {
		step := int(min(n, readStep))
		if err := f.account(step); err != nil {
			return err
		}
		if err := f.awaitMore(step); err != nil {
			return err
		}
		at := len(f.buf)
		f.buf = append(f.buf, zeros[:step]...)
		if err := readFull(f.r, f.buf[at:]); err != nil {
			return err
		}
		n -= uint64(step)
	}
	return nil
}

// awaitMore sets the deadline for the next bytes if the value has begun and they have not arrived.
func (f *frame) awaitMore(n int) error {
	if len(f.buf) == 0 || f.r.Buffered() >= n || f.limits.SetReadDeadline == nil {
		return nil
	}
	now := time.Now()
	if f.deadline.IsZero() {
		f.deadline = now.Add(messageTimeout)
	}
	next := now.Add(stallTimeout)
	if f.deadline.Before(next) {
		next = f.deadline
	}
	return f.limits.SetReadDeadline(next)
}

// account reserves what the value costs with further bytes. Reservations are made in steps of
// freeMessage.
func (f *frame) account(more int) error {
	cost := int64(len(f.buf)+more) + f.values*valueCost
	if cost > f.limits.MaxMessage {
		return ErrTooLarge
	}
	for f.limits.Reserve != nil && cost > f.reserved+freeMessage {
		if !f.limits.Reserve(freeMessage, f.reserved) {
			return ErrTooLarge
		}
		f.reserved += freeMessage
	}
	return nil
}

var zeros [readStep]byte

// readFull fills b from r.
func readFull(r *bufio.Reader, b []byte) error {
	for len(b) > 0 {
		n, err := r.Read(b)
		if b = b[n:]; err != nil && len(b) > 0 {
			return err
		}
	}
	return nil
}
