// Package home implements the owner of some shards of the job-key space: it
// admits keys, runs their jobs by starting tasks at gates, collects the answers,
// and hands shards over to other homes.
//
// Package ledger decides whether a key may run, and package place selects the
// gate of a task; this package executes their decisions.
package home
