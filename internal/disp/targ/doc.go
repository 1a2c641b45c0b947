// Package targ has what a gate and its target tell each other: the target's
// lives, orders, lists of runs, and a lower bound of its clock.
//
// The calls themselves are elsewhere, in the platform's client.
package targ
