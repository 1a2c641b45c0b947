// Package fleet runs the entries and nodes of one region, with the simulated store
// and targets, as processes on loopback. It is for tests and measurements only.
//
// Each process is a child process, which can be killed, suspended, resumed or
// stopped. The package waits for conditions, never for a fixed time.
package fleet
