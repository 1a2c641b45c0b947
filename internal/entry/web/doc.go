// Package web implements the HTTP interface of an entry for callers and operators.
//
// It validates requests, converts them explicitly to the internal types, and converts
// the results back. Jobs and edits are handled by packages relay and edit.
package web
