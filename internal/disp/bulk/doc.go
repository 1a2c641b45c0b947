// Package bulk separates the routes of a service from each other, as bulkheads do, while
// targets crash one after the other.
//
// The load pattern that it answers: some tasks of one route crash each target that starts
// them. Each is given up after a few crashes, but as long as such tasks arrive, they take
// down targets faster than those come back, and with them the tasks of all routes. Which
// route is at fault can't be told quickly, since each crash ends tasks of all routes. So
// each route gets a share of the targets of its own until no target has crashed for a
// while. Then only the route at fault is without targets.
//
// Targets that crash at the same moment, as with a rack, are one event and no reason.
package bulk
