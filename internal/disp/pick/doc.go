// Package pick chooses the gate to send a task to: the one where the task is
// expected to finish first. Among gates that can start it at once, it keeps tasks apart
// that slow each other down.
//
// It works on a snapshot of the gates' loads and sends no messages.
package pick
