// Package clock keeps the cluster time: a reference time plus the monotonic time
// elapsed since that reference was set.
//
// The package does not query any time source over the network. Cluster time never
// goes back, whatever the wall clock of the VM does, so that a key that a ledger has
// forgotten after its time stays refused.
package clock
