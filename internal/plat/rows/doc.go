// Package rows maps the roster and the catalogue to rows of the platform's
// table, by hand, and names those rows.
//
// Every reader checks what it reads: a malformed row is an error and is never
// taken in part. The package reads and writes no table.
package rows
