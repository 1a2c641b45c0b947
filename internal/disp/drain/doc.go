// Package drain plans how a process ends after the signal to stop, given the time until the platform
// kills it.
//
// The load that it answers is a full entry with little processor time: thousands of callers wait, no
// target has room, and each caller is owed an answer before the kill. So the plan says not only when
// the last answer is due, but also how many callers may still wait at a moment. The others are told
// sooner, those first whose jobs are the furthest from their end.
package drain
