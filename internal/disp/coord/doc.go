// Package coord runs the jobs that one entry has accepted. It decides whether a
// job can be served in time, sends its tasks to gates, retries tasks that failed
// or did not run, and ends each job with either a complete result or an explicit
// failure.
//
// Jobs are not stored; a job ends when the last of its callers has left or stopped
// waiting. A job is refused only while none of its tasks has started, and fails only
// once one of its tasks has failed as often as its route allows. While the process is stopping, jobs that
// it can't wait for are withdrawn: see Coordinator.Stop.
package coord
