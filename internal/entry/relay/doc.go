// Package relay takes a caller's job to the home of its key and brings back the
// whole answer or an honest failure.
//
// It runs nothing itself. A key may be sent to a home more than once, since the
// home's ledger makes that harmless; a key that the entry made and no home has
// taken may be replaced by another.
package relay
