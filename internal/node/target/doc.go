// Package target talks to the target beside a node: it takes the target's
// announcement and runs tasks on it, over HTTP.
//
// It never sends a task twice: it makes no retry, follows no redirect, and
// tells apart a task that did not leave from one whose outcome is unknown.
package target
