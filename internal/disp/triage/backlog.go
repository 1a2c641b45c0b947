package triage

import (
	"sort"
	"time"
)

const (
	overdue        = 0 // class of the tasks that can't start in time any more
	backlogClasses = 7
)

// backlogBounds are the upper bounds of the classes of a Backlog but the last, for the time that is
// left until the latest start. They lie between the slacks of tasks that take from some tens of
// milliseconds to a second.
var backlogBounds = [backlogClasses - 1]time.Duration{
	0, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
}

// Backlog is the work of queued tasks by the time that was left until their latest start. A queue
// in the order of Before lets a task pass all work of later classes, so what is ahead of it is much
// less than the whole queue when long tasks with much slack wait.
type Backlog [backlogClasses]int64

// BacklogOf returns the backlog with the work of each class; classes that are missing have none.
func BacklogOf(work []int64) Backlog {
	var b Backlog
	copy(b[:], work)
	return b
}

// classOf returns the class of a task that has to start within slack.
func classOf(slack time.Duration) int {
	return sort.Search(len(backlogBounds), func(i int) bool { return slack < backlogBounds[i] })
}

// With returns b with the work of another task, that has to start within slack.
func (b Backlog) With(slack time.Duration, work int64) Backlog {
	b[classOf(slack)] += work
	return b
}

// Load returns the work that counts as before a task that has to start within slack, so that it
// starts in time if the work is done within slack. That is the work ahead of it; but later work must not be
// pushed beyond its own latest start either, or the tasks with the most slack would starve: the
// work up to each later class counts in proportion of slack to the least slack of that class.
func (b Backlog) Load(slack time.Duration) int64 {
	sum := b.Ahead(slack)
	if slack <= 0 {
		return sum
	}
	until := sum
	for i := classOf(slack) + 1; i < len(b); i++ {
		until += b[i]
		sum = max(sum, int64(float64(until)*float64(slack)/float64(backlogBounds[i-1])))
	}
	return sum
}

// Ahead returns the work that goes before a task that has to start within slack. All work of its
// own class counts.
func (b Backlog) Ahead(slack time.Duration) int64 {
	class, sum := classOf(slack), int64(0)
	for i, work := range b {
		if class == overdue || i != overdue && i <= class {
			sum += work
		}
	}
	return sum
}
