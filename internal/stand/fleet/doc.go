// Package fleet starts the system's processes and the stand-ins on loopback,
// for tests and measurements only.
//
// Each process is a plain child that can be killed, frozen, resumed or told to
// stop. Waiting is always for a condition.
package fleet
