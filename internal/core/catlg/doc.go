// Package catlg holds the catalogue of the kinds of work that callers may request.
// Operators create its entries; each has an owner, a class and limits.
//
// A Catalogue is immutable, and the version of the one in use only rises. The package
// validates entries and merges edits; it does no I/O.
package catlg
