// Package interf estimates which kinds of tasks slow each other down on the same machine.
//
// It addresses machines that run tasks of several kinds at once, where tasks share more than
// the CPU and memory that they declare, such as memory bandwidth, caches or a disk. A Tracker
// belongs to one target: it is told of each start and end of a run, and returns the pairs of
// kinds of which one runs longer beside the other. Merge combines the pairs of several
// targets. docs/design/interference.md describes the method. The package has no clock: the
// caller passes all times.
package interf
