// Package cbreak decides when a target that fails what it is given is set aside,
// and when it is tried again.
//
// Evidence is what became of tasks at the target: ends, tasks that stand still,
// starts refused or left unanswered. A task that has already failed elsewhere
// says nothing about the target, and all failures of one job count as one, since
// the job may be at fault. The package starts and stops nothing itself.
package cbreak
