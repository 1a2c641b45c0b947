// Package lease keeps leases that holders renew: who holds one, and until when.
//
// It reads no clock; moments are given to it.
package lease
