// Package place chooses the gate at which a home starts a task.
//
// It compares a bounded sample of gates by the time that each is expected to
// need for the task. The estimate uses the load that the gate last reported, the
// home's own unanswered starts there, the mean run time of the gate's tasks and
// the network latency. The package does no I/O and knows nothing of keys.
package place
