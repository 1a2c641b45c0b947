// Package rotate tells whether an entry is in the load balancer's rotation, from the
// balancer's own health checks, and which other entries are not.
//
// Callers reach an entry through the balancer. While the balancer checks the entry and the
// entry passes, its callers keep their connections, or the entry learns that they have lost
// them. An entry that is not checked any more may have been partitioned from the balancer,
// and so from its callers: they can lose their connections and submit their jobs to other
// entries, and the entry does not learn of it. An entry that fails the checks, as one that is
// being stopped, is reached all the same, and keeps its callers.
package rotate
