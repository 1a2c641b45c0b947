// Package relay forwards a caller's job to the home of its key, and returns either
// the complete answer or a failure that states correctly whether the job may have run.
//
// It runs no tasks itself. A key may be sent to a home more than once, since the
// home's ledger makes repeated messages harmless. A key that the entry generated may
// be replaced by another as long as no home has accepted it.
package relay
