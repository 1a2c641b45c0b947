// Package client is the library with which callers submit jobs to gypsumlanding.
//
// A Client creates keys, submits jobs through several entries, and resubmits a job with
// the same key when a reply is lost, so that the job never runs twice. It does not turn
// a job whose outcome is Unknown into a new one; that decision is the caller's.
package client
