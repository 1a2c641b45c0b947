package msgs

import (
	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

const maxList = 1 << 20

// errShape reports a message that has another shape than its type.
var errShape = merry.Sentinel("malformed message")

// pack writes one array of the given values.
func pack(e *msgpack.Encoder, fields ...any) error {
	if err := e.EncodeArrayLen(len(fields)); err != nil {
		return err
	}
	return e.EncodeMulti(fields...)
}

// unpack reads one array into the given pointers. Fields that the array lacks
// keep their value, and those beyond the pointers are skipped.
func unpack(d *msgpack.Decoder, fields ...any) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < 0 || n > maxList {
		return errShape
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

// list writes and reads a slice of T by the functions for one element.
type list[T any] struct {
	items *[]T
	put   func(*msgpack.Encoder, T) error
	get   func(*msgpack.Decoder) (T, error)
}

// EncodeMsgpack writes the slice.
func (l *list[T]) EncodeMsgpack(e *msgpack.Encoder) error {
	if err := e.EncodeArrayLen(len(*l.items)); err != nil {
		return err
	}
	for _, item := range *l.items {
		if err := l.put(e, item); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack reads the slice.
func (l *list[T]) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > maxList {
		return errShape
	}
	*l.items = nil
	for range n {
		item, err := l.get(d)
		if err != nil {
			return err
		}
		*l.items = append(*l.items, item)
	}
	return nil
}

func blobs(items *[][]byte) *list[[]byte] {
	return &list[[]byte]{
		items: items,
		put:   func(e *msgpack.Encoder, b []byte) error { return e.EncodeBytes(b) },
		get:   func(d *msgpack.Decoder) ([]byte, error) { return d.DecodeBytes() },
	}
}
