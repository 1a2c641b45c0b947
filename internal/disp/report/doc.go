// Package report shows operators what a process of the platform path believes:
// its configuration, the nodes that it uses, its target, and what is set aside.
//
// It reads only; nothing here changes a process.
package report
