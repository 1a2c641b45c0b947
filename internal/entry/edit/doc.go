// Package edit changes the catalogue in the platform's table.
//
// An edit is one transaction of the entry's row, the head row and a row of the
// history, with compare-and-set on the version that the operator read. A lost
// reply is settled by reading the history for the edit's ID.
package edit
