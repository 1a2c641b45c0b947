// Package triage decides which jobs go first while capacity is short: those that can
// still be answered within their latency budget. Jobs that have missed it use the
// capacity that the others leave.
//
// The load pattern that it answers: processes die together, and the jobs whose answers
// were lost are submitted again after the platform's resubmit delay, at the moment when
// the usual jobs arrive as well. For a second or two twice the load has to be served.
// Most of the repeated jobs have missed their latency budget by then. Served in order
// of age they delay all others beyond theirs too, until nobody is answered in time.
//
// The package reads no clock and knows nothing of gates.
package triage
