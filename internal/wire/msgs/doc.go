// Package msgs defines the messages that the processes of the system send to each
// other, and encodes each of them as a MessagePack array.
//
// The place of a field in the array is its identity; the names of fields are not
// sent. An array may grow at its end: a reader skips elements that it does not know,
// and a field that the sender did not have keeps its zero value. A job's deadline is
// sent both as cluster time, which determines how long the key is retained, and as
// the time left, so that a reader need not compare its clock with the sender's. The
// package does no I/O.
package msgs
