// Package health is the failure detector of the nodes. From the outcomes of probes
// it decides when one prober suspects a node to be dead.
//
// A refused connection is sufficient proof that a node is dead; a silent node must
// be suspected by two probers. The package sends no probes and removes no nodes.
package health
