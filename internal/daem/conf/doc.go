// Package conf reads a program's settings from flags, environment variables and one
// file of JSON with comments. Flags take precedence over variables, and variables over
// the file.
//
// Each setting has a one-word name, a type and a range. All faults that are found are
// reported together, each with the name of its setting. The package checks the form of
// addresses but opens none, and has no effect after parsing.
package conf
