// Package rsrc calculates with amounts of resources: what tasks require, and what a
// target has free.
//
// The amounts are exact, since a target that doesn't enforce its own capacity relies
// on them.
package rsrc
