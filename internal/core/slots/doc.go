// Package slots admits tasks to the slots of a target. It runs as many at a time
// as the target announced, takes the one with the earliest deadline first, and
// refuses tasks that can't start by their deadline.
//
// It estimates waiting times from the run times of earlier tasks. It starts no
// tasks itself and keeps no record of keys.
package slots
