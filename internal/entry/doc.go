// Package entry puts together the parts of an entry process.
package entry
