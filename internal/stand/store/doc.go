// Package store simulates the platform's table service and object store. It is for
// tests and measurements only.
//
// All data are in memory. The store can be made unavailable or slow, or made to lose
// the replies of writes that took effect.
package store
