// Package admit limits how long a job may be expected to wait for capacity when it is
// accepted.
//
// The load pattern that it answers: demand just above the capacity, for seconds. The
// entry's estimate of the wait is rough, since other entries send to the same gates, so
// jobs are accepted that then wait for longer than they can afford. Each of them uses
// capacity that would have answered another job in time, and the queues stay long
// until demand falls. The limit follows from what accepted tasks have waited: it falls
// while many wait too long, and rises slowly again.
//
// The package reads no clock and knows nothing of gates.
package admit
