// Package rules contains only tests. They run the decision packages together, as
// entries with gates and simulated targets, in virtual time and under random
// schedules of failures, and check that what targets and callers observe complies
// with the rules of the dispatcher.
package rules
