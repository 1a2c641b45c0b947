// Package life runs a daemon: it serves until a signal comes, then lets the
// daemon finish its work before it closes the servers.
package life
