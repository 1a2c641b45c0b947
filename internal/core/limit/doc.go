// Package limit holds the work of a catalogue entry within its limits at one
// home.
//
// Each home may use an equal share of a limit, so that all homes together stay
// within it without a message. The package does not move unused shares from
// one home to another.
package limit
