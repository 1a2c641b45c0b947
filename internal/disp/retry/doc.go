// Package retry decides when a caller whose job was refused is told to come back.
//
// The load pattern that it answers: a burst, or an outage that ends, leaves more callers
// without an answer than the system can serve at once. If all are told the same delay
// they come back together and are refused together, again and again. The package
// promises each caller a time at which capacity is expected for its job, after the
// callers of the same or a higher priority that were refused before it.
//
// The package reads no clock and does not hold capacity back: a caller that comes
// earlier or later is served if there is capacity then.
package retry
