// Package view stores the newest roster and catalogue that a process has received, and
// answers long polls of other processes for newer ones.
//
// Neither is ever replaced by an older one. The package does no I/O of its own and takes
// no decisions from what it stores.
package view
