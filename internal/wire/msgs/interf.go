package msgs

import "github.com/vmihailenco/msgpack/v5"

// interferenceCodec returns a codec for a list of pairs, each encoded as an array.
func interferenceCodec(items *[]Interference) *sliceCodec[Interference] {
	return &sliceCodec[Interference]{
		items: items,
		encode: func(e *msgpack.Encoder, p Interference) error {
			return encodeArray(e, p.Slowed, p.By, p.Factor, p.Evidence)
		},
		decode: func(d *msgpack.Decoder) (p Interference, err error) {
			return p, decodeArray(d, &p.Slowed, &p.By, &p.Factor, &p.Evidence)
		},
	}
}

// kindsCodec returns a codec for a list of numbers of runs, each encoded as an array.
func kindsCodec(items *[]KindRuns) *sliceCodec[KindRuns] {
	return &sliceCodec[KindRuns]{
		items:  items,
		encode: func(e *msgpack.Encoder, k KindRuns) error { return encodeArray(e, k.Kind, k.Runs) },
		decode: func(d *msgpack.Decoder) (k KindRuns, err error) {
			return k, decodeArray(d, &k.Kind, &k.Runs)
		},
	}
}
