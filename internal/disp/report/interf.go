package report

import "github.com/gypsumlanding/gypsumlanding/internal/disp/gate"

// InterferenceDoc is a pair of kinds of tasks of which one runs longer beside the other.
type InterferenceDoc struct {
	Service  string `json:"service"`
	Slowed   string `json:"slowed"`   // kind that runs longer
	By       string `json:"by"`       // kind that makes it run longer
	Percent  int    `json:"percent"`  // of its run time without the other
	Evidence int    `json:"evidence"` // reciprocal of the variance of the logarithm of the factor
}

// interferenceDocs returns the pairs that a node has found or suspects.
func interferenceDocs(s gate.State) []InterferenceDoc {
	var docs []InterferenceDoc
	for _, p := range s.Load.Interference {
		docs = append(docs, InterferenceDoc{s.Incarnation.Service, p.Slowed, p.By, p.Factor, p.Evidence})
	}
	return docs
}
