// Package web is the HTTP side of an entry, for callers and for operators.
//
// It checks what arrives, maps it by hand to the system's own types, and maps
// what comes back. It decides nothing about jobs or edits.
package web
