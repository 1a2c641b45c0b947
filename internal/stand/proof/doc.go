// Package proof notes what the proofs of the brief's points saw, and prints a
// line for each point. It is for tests only.
package proof
