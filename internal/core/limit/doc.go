// Package limit enforces, at one home, the limits of catalogue entries.
//
// Each home may use an equal share of a limit, so that all homes together stay
// within it without exchanging messages. Unused shares are not moved from one home
// to another.
package limit
