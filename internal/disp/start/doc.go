// Package start has the states of the start of a run at a target: what the order to start it
// may have done, what moves it from one state to the next, and what the end of the run proves
// about a crash of the target.
//
// The load that it answers: tasks that crash whatever target starts them, beside others that
// are lost with them. A gate sees answers, listings and silence, and must neither blame a task
// for a crash that it had no part in nor let it take one target after the other down. So each
// conclusion names what it rests on, and what rests on nothing but silence is counted apart.
//
// The package reads no clock and does no I/O. docs/DISPATCH.md has its rules as tables, under
// "What a start may have done".
package start
