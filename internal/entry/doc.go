// Package entry assembles an entry process from its parts.
package entry
