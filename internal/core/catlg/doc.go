// Package catlg holds the catalogue: the entries that operators create, each
// with an owner, a class and the limits under which its work may run.
//
// A Catalogue is immutable, and its version only rises. The package checks
// entries and merges edits; it stores nothing.
package catlg
