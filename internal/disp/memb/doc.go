// Package memb keeps the set of processes that an entry knows of. An entry learns
// of them from the platform's table, from other entries and from their own
// announcements.
//
// Membership is a hint: calls to a member that no longer exists fail until it expires,
// and a missing member is found again in any of the three ways. But an entry asks only
// the members that it knows whether they have a job. An entry reports to others only the members with which
// it had recent contact, so that entries do not keep reporting a dead member to
// each other.
package memb
