package msgs

import "github.com/vmihailenco/msgpack/v5"

// Order is the operator's request to evacuate a failure domain, or to take it back. The zero
// value is no order, and takes one byte.
type Order struct {
	Domain    string
	Version   int64 // the store's version of the change; positive
	Evacuated bool  // false takes the domain back
}

// EncodeMsgpack writes the order, or an empty array for none.
func (m *Order) EncodeMsgpack(e *msgpack.Encoder) error {
	if *m == (Order{}) {
		return encodeArray(e)
	}
	return encodeArray(e, m.Domain, m.Version, m.Evacuated)
}

// DecodeMsgpack reads the order.
func (m *Order) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.Domain, &m.Version, &m.Evacuated)
}

// ordersCodec returns a codec for a list of orders.
func ordersCodec(orders *[]Order) *sliceCodec[Order] {
	return &sliceCodec[Order]{
		items:  orders,
		encode: func(e *msgpack.Encoder, o Order) error { return o.EncodeMsgpack(e) },
		decode: func(d *msgpack.Decoder) (Order, error) {
			var o Order
			err := o.DecodeMsgpack(d)
			return o, err
		},
	}
}
