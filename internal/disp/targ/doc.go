// Package targ defines what a gate and its target exchange: the target's
// incarnations, orders and listings of runs. It also bounds the target's clock from
// below.
//
// The calls themselves are in the platform's client.
package targ
