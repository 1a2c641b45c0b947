package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/report"
)

// TestFleetShowsInterference checks that the pairs of entries and nodes are listed, and that
// there is no table without any.
func TestFleetShowsInterference(t *testing.T) {
	entry := processStatus{Doc: &report.Doc{Name: "e1", Entry: &report.EntryDoc{}}}
	node := processStatus{Doc: &report.Doc{Name: "n1", Node: &report.NodeDoc{}}}
	fleet := func() string {
		var out bytes.Buffer
		t := &tool{stdout: &out}
		t.printFleet([]processStatus{entry, node})
		return out.String()
	}
	if text := fleet(); strings.Contains(text, "INTERFERENCE") {
		t.Errorf("without interference:\n%s", text)
	}
	entry.Doc.Entry.Interference = []report.InterferenceDoc{{Service: "plan", Slowed: "a", By: "b", Percent: 150, Evidence: 400}}
	node.Doc.Node.Interference = []report.InterferenceDoc{{Service: "plan", Slowed: "a", By: "b", Percent: 160, Evidence: 60}}
	want := `
INTERFERENCE AT  SERVICE  SLOWED  BY  TO    EVIDENCE
e1               plan     a       b   150%  400
n1               plan     a       b   160%  60
`
	if text := fleet(); !strings.HasSuffix(text, want) {
		t.Errorf("got:\n%s\nwant at the end:%s", text, want)
	}
}
