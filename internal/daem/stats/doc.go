// Package stats holds the metrics of a process, which are counters, gauges and
// histograms, and serves them by HTTP as JSON or text.
package stats
