// Package ledger records, at a job's home, which job keys have been admitted and
// with which outcome, so that a key runs at most once.
//
// It also implements the rules for shards that move between homes. A home serves
// a key only if it owns the key's shard in the newest roster it has. A previous
// owner hands over its records of a shard before the new owner serves keys that
// were made before the move. Keys that may have run at a home whose records are
// lost are answered as unknown. The package does no I/O, runs no jobs and reads
// no clock: callers pass in the current time.
package ledger
