package msgs

import (
	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// maxListLength bounds the declared length of a list or message, in elements.
const maxListLength = 1 << 20

// errMalformed means that a message is not an array of a permitted length.
var errMalformed = merry.Sentinel("malformed message")

// encodeArray writes the given values as one array.
func encodeArray(e *msgpack.Encoder, fields ...any) error {
	if err := e.EncodeArrayLen(len(fields)); err != nil {
		return err
	}
	return e.EncodeMulti(fields...)
}

// decodeArray reads one array into the given pointers. Fields that the array lacks
// keep their values, and elements beyond the last pointer are skipped.
func decodeArray(d *msgpack.Decoder, fields ...any) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < 0 || n > maxListLength {
		return errMalformed
	}
	if err := d.DecodeMulti(fields[:min(n, len(fields))]...); err != nil {
		return err
	}
	for range n - len(fields) {
		if err := d.Skip(); err != nil {
			return err
		}
	}
	return nil
}

// sliceCodec writes and reads a slice, given the functions for one element.
type sliceCodec[T any] struct {
	items  *[]T
	encode func(*msgpack.Encoder, T) error
	decode func(*msgpack.Decoder) (T, error)
}

// EncodeMsgpack writes the slice as an array.
func (l *sliceCodec[T]) EncodeMsgpack(e *msgpack.Encoder) error {
	if err := e.EncodeArrayLen(len(*l.items)); err != nil {
		return err
	}
	for _, item := range *l.items {
		if err := l.encode(e, item); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack reads an array and replaces the slice by its elements.
func (l *sliceCodec[T]) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > maxListLength {
		return errMalformed
	}
	*l.items = nil
	for range n {
		item, err := l.decode(d)
		if err != nil {
			return err
		}
		*l.items = append(*l.items, item)
	}
	return nil
}

// bytesCodec returns a codec for a list of byte strings.
func bytesCodec(items *[][]byte) *sliceCodec[[]byte] {
	return &sliceCodec[[]byte]{
		items:  items,
		encode: func(e *msgpack.Encoder, b []byte) error { return e.EncodeBytes(b) },
		decode: func(d *msgpack.Decoder) ([]byte, error) { return d.DecodeBytes() },
	}
}
