// Package recall lets a node that has restarted use its target again at once, before
// the target's next heartbeat.
//
// The load pattern that it answers: all processes of the system die together while the
// targets live on. Callers are back within moments, but a target that is known from its
// heartbeats only would stay unused for up to a heartbeat interval, and the targets that
// are known by chance would be overloaded meanwhile.
//
// A node records its target's incarnation in the platform's table when it learns of it,
// and erases the record when the target leaves. After a restart it reads the record and
// offers it to the gate. A record is only a hint: the gate asks the target itself, which
// rejects calls for another incarnation, before it starts anything, and stops using a
// target whose heartbeat does not confirm the record in time.
package recall
