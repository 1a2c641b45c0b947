// Package coord runs the jobs that one entry has taken: it decides whether a
// job can be served in time, sends its tasks to gates, tries again what did not
// run or failed, and ends each job with one whole answer or one honest failure.
//
// Nothing of a job is stored; it ends with the caller's request. A job is
// refused only while none of its tasks has started, and has failed only once one
// of its tasks has failed as often as its route allows.
package coord
