// Package route is the configuration that entries serve callers by: which
// requests belong to which catalogue entry, and the limits of each.
//
// A table is never changed; a newer one takes its place. The package doesn't
// know how tables are written or where they come from.
package route
