// Package roll writes changes of the roster to the platform's table.
//
// It combines changes that arrive within a short time into one write, by
// compare-and-set on the version of the row read. A change that has already been made
// has no effect, so that after a lost reply the row is read and the changes are applied
// again.
package roll
