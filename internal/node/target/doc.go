// Package target communicates over HTTP with the target of a node: it receives the
// target's announcements and runs tasks on it.
//
// It never sends a task twice: it does not retry, follows no redirects, and
// distinguishes a task that was not sent from one whose outcome is unknown.
package target
