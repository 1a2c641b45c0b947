// Package view holds the newest roster and catalogue that a process knows, and
// lets others wait for newer ones.
//
// Neither ever goes back: an older state offered is ignored. The package does
// not fetch anything itself, and decides nothing by what it holds.
package view
