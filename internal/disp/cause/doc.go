// Package cause defines the reasons why jobs and tasks are refused, retried or
// stopped, and why the circuit breaker of a target opens. Logs, messages between
// processes and counters identify a reason only by these texts.
//
// The package contains no decisions, only the texts and the counter names made of them.
package cause
