// Package rows encodes the roster and the catalogue as rows of the platform's table,
// and defines the names of those rows.
//
// The rows are stored data: the JSON field names in this package must not change. A
// malformed row is rejected as a whole. The package does no I/O.
package rows
