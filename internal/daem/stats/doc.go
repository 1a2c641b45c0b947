// Package stats counts what a daemon does, refuses and retries, and shows the
// counters at one HTTP path.
package stats
