// Package life runs a daemon: it serves until a signal to stop arrives, then lets the
// daemon finish its work before it closes the servers.
package life
