// Package trail reads log lines collected from several processes and selects those that
// explain what happened to one request.
//
// It orders lines by the clocks of several machines. Lines whose times differ by less
// than these clocks do may therefore be in the wrong order.
package trail
