// Package estim estimates how long the tasks of a route run, from what callers
// declare and from what was observed.
//
// Declared times are often far off, so an estimate is the geometric mean of the
// declared time and the learned one. Times are those on a target of speed 1.
package estim
