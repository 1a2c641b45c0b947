// Package member maintains the membership of a node: it joins the roster, receives
// newer rosters and catalogues from an entry, probes other nodes, and leaves.
//
// It does not write to the platform's table; it asks an entry to do so.
package member
