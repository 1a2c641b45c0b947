// Package slots admits tasks to a target's slots: as many at a time as the
// target announced, the earliest deadline first, and none that can no longer
// finish in time.
//
// It learns the target's run time from what it saw; it starts nothing itself
// and keeps no record of keys.
package slots
