// Package proof records the results of tests that check the points of the users'
// brief, and summarises them by point. It is for tests only.
package proof
