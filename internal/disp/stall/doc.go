// Package stall tells when a process has stood still: its machine was suspended, or the
// process got no processor time. Whatever it reads next may have been sent long before, and
// whoever waited for its answer may have left meanwhile.
package stall
