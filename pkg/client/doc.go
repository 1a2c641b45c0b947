// Package client is the callers' library of gypsumlanding.
//
// It makes keys, submits jobs through several entries, and resubmits a job
// under its key when a reply is lost, which never runs it twice. It never turns
// an outcome of Unknown into a new job: that decision is the caller's.
package client
