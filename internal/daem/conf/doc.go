// Package conf reads a daemon's settings: one file of JSON with comments,
// overridden by environment variables and those by flags.
//
// Each setting has a one-word name, a type and a range, and every fault found
// is reported with the setting's name. The package opens no address and keeps
// nothing after parsing.
package conf
