// Package cbreak implements the circuit breaker of one target: it decides when a
// target that fails its tasks gets no more of them, and when it is probed again.
//
// Its evidence is what happened to tasks at the target: ended runs, runs without
// progress, and starts that were refused. The caller leaves out tasks that have
// already failed elsewhere, since they say nothing about the target. Consecutive
// failures of one job count once, since the job may be at fault. The package
// starts and stops nothing itself.
package cbreak
