// Package codec carries net/rpc calls in MessagePack.
//
// It frames nothing of its own: each header is an array of the method's name,
// the sequence number and, in replies, the error text, and is followed by one
// value, the body. Which fields a body has is the concern of package msgs.
package codec
