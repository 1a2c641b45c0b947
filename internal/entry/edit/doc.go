// Package edit changes the catalogue in the platform's table.
//
// An edit is a single transaction that writes the entry's row, the head row and a row of
// the history, with compare-and-set on the version that the operator read. If the reply
// is lost, the ID of the edit in the history shows whether it took effect.
package edit
