// Package codec encodes net/rpc calls in MessagePack.
//
// Each call and each reply is a header followed by one value, the body. The header is
// an array of the method's name, the sequence number and, in replies, the error text,
// which is empty for a success. There is no other framing. Package msgs defines the
// fields of the bodies.
package codec
