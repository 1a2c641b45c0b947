// Package memb keeps which processes an entry knows of: what the platform's
// table lists, what other entries tell, and what announced itself.
//
// Being known is a hint and decides nothing: a member that has gone for good is
// called in vain until it is forgotten, and one that is missing is found again
// through any of the three ways. Only members that were heard of lately are told
// to others, so that a dead one isn't passed around.
package memb
