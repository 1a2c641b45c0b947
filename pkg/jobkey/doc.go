// Package jobkey creates and parses the keys that identify jobs, and assigns them to
// shards.
//
// A generated key contains its region, its epoch (the roster epoch known when the key
// was created) and its absolute deadline, so that a resubmission with the same key can't
// change them by accident. A plain key is a name chosen by the caller; its epoch is 0
// and it has no deadline.
//
// The package does not decide whether a key may run; the ledger of the home does.
package jobkey
