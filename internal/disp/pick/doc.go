// Package pick chooses the gate that a task is sent to: the one at which it is
// expected to end first.
//
// It works on a copy of what the entry knows and sends nothing.
package pick
