// Package route holds the configuration by which entries serve callers: which
// requests belong to which catalogue entry, and which limits apply to them.
//
// A Table is immutable and is replaced as a whole by a newer one. The package is
// independent of how tables are encoded and where they come from.
package route
