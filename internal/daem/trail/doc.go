// Package trail reads log lines that were collected from several processes and
// puts together what they tell of one request.
//
// It compares the clocks of several machines and so may put lines in the wrong
// order that are closer than these clocks are.
package trail
