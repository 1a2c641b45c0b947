// Package store is a small stand-in for the platform's table service and object
// store, for tests and measurements only.
//
// It keeps everything in memory and can be told to be down, slow, or to lose
// the replies of writes that took effect.
package store
