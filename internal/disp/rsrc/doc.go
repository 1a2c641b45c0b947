// Package rsrc counts what tasks ask of a target and what is left of it.
//
// It is exact: a target that doesn't guard its own capacity relies on it.
package rsrc
