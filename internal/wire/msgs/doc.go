// Package msgs defines the messages between entries and nodes, and maps them by
// hand to MessagePack arrays.
//
// A message's array may grow at its end: a reader skips fields it does not
// know and leaves at zero those that the sender did not have. A deadline
// travels both as cluster time, which says how long a key is remembered, and as
// the time left, so that the clocks of two machines are never compared. The package sends nothing.
package msgs
