// Package estim estimates the run times of tasks and the speeds of targets. Run
// times are estimated per route, from what callers declare and from observations.
//
// Declared run times are often far off, so an estimate is the geometric mean of the
// declared and the observed run time. All estimates are for a target of speed 1.
package estim
