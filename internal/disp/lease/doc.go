// Package lease records leases that their holders renew: who holds one, and until
// when.
//
// It reads no clock; the caller passes the times.
package lease
