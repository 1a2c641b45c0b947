// Package jobkey makes, reads and places the keys that identify jobs.
//
// A generated key carries its region, its birth (the roster epoch known when
// the key was made) and its absolute deadline, so a resubmission that repeats
// the key can't change any of them by accident. A plain key is a name chosen
// by the caller; it counts as born at epoch 0 and carries no deadline.
//
// The package does not decide whether a key may run; that is the ledger's
// part.
package jobkey
