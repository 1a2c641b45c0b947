// Package table is the client of the platform's transactional table service.
//
// It tells apart a conflict, a service that did not take a write, and a reply
// that was lost so that the write may have taken effect. It does not retry and
// gives rows no meaning.
package table
