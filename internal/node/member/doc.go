// Package member keeps a node in the roster: it joins, follows the roster and
// the catalogue through an entry, probes other nodes, and leaves.
//
// It writes nothing to the platform's table; entries do that for it.
package member
