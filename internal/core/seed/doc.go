// Package seed sets the random seed and the size of property-based tests, so that
// every run of a test gives the same result. It is for tests only.
package seed
