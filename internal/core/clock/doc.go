// Package clock keeps cluster time: a reference reading plus the monotonic
// time that has passed since.
//
// It does not ask anybody for the time. The reading never goes back, whatever
// the wall clock of the VM does, so what a ledger forgets by it stays refused
// by it.
package clock
