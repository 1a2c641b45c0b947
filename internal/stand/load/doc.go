// Package load submits jobs to entries in an open loop and judges what came of
// them, for tests and measurements only.
//
// Arrivals do not wait for answers, and times count from the intended arrival.
// The judge goes by what callers got and what targets saw, never by counters of
// the product.
package load
