// Package table is the client of the platform's transactional table service.
//
// It distinguishes a conflict, a service that did not accept a write, and a lost reply,
// after which the write may have taken effect. The package does not retry requests and
// does not interpret the values of rows.
package table
