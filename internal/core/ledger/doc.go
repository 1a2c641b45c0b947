// Package ledger remembers, at a job's home, which keys have been seen and what
// came of them, so that a key runs at most once.
//
// It holds the rules for shards that move between homes: a home serves a key
// only for shards it owns in its newest roster, hands its records over before
// another home serves older keys, and answers "unknown" for keys that a lost
// home may have run. It does no I/O, runs no job and trusts no clock but the
// one whose readings it is given.
package ledger
