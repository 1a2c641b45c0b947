// Package follow keeps an entry's view up to date from the platform's table and
// from the other entries.
//
// The other entries are polled also while the table is unavailable, so that a process
// that starts during an outage receives the newest state that any of them has.
package follow
