// Package evac keeps which failure domains the operator has evacuated, so that nothing is
// started at their targets.
//
// The load that it addresses: an operator evacuates a domain that is about to lose power,
// and the tasks of all routes have to be served by the targets of the others. Several
// processes learn of it, and of its end, in any order, more than once and by different
// ways. The version of an order, which the platform's store gives each change, decides
// which is the newest. An evacuation ends by an order of a higher version only.
//
// The package reads no clock and knows nothing of gates.
package evac
