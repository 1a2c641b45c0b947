// Package roll writes changes of the roster to the platform's table.
//
// It gathers the changes that arrive close together into one write, made by
// compare-and-set on the epoch read. Since a change that is already there does
// nothing, a lost reply is settled by reading the row again.
package roll
