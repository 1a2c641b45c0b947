// Package follow keeps an entry's view up to date from the platform's table and
// from the other entries.
//
// While the table is down the other entries go on to be asked, so a process
// that starts in an outage learns the newest state that any of them has.
package follow
