// Package load generates an open-loop load of jobs and evaluates their outcomes. It
// is for tests and measurements only.
//
// Arrivals do not wait for answers, and response times count from the intended
// arrival. The evaluation uses the outcomes that callers got and the task starts that
// targets recorded, never the counters of the system under test.
package load
