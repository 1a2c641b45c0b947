// Package home owns some shards of the job-key space: it admits keys, runs
// their jobs by placing tasks at gates, gathers the answers, and hands shards
// over to other homes.
//
// Whether a key may run is decided by package ledger, and where a task goes by
// package place; this package carries their decisions out.
package home
