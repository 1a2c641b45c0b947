// Package logs writes structured log lines, one a change of state.
//
// What happens often is counted by package stats instead.
package logs
