package test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// mutant is a change of the source that removes one safety rule, and the test that has to
// fail with it.
type mutant struct {
	rule string // as docs/DESIGN.md names it
	file string // relative to the root of the repository
	old  string // text that occurs exactly once in file
	new  string // replaces old
	test string // folder and test, or "scenario" and the name of a script in testdata
	more []edit // remove further checks that would hide that the first is missing
}

// edit replaces a text that occurs exactly once in a file.
type edit struct{ file, old, new string }

// propertyTimeout ends a test that hangs because of a mutant, which counts as a failure
// of the test.
const propertyTimeout = "40s"

// TestPropertiesCatchBrokenRules runs the test of each mutant with the mutant applied,
// and checks that the test fails.
func TestPropertiesCatchBrokenRules(t *testing.T) {
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range slices.Concat(mutants, evacuationMutants, interferenceMutants, lossMutants, stopMutants) {
		t.Run(m.rule, func(t *testing.T) {
			t.Parallel()
			m.mustFail(t, root)
		})
	}
}

// mustFail reports an error if the test of the mutant passes, and stops if the test fails
// for a reason that has nothing to do with the mutant.
func (m mutant) mustFail(t *testing.T, root string) {
	overlay := m.overlay(t, root)
	location, name, _ := strings.Cut(m.test, " ")
	var cmd *exec.Cmd
	if location == "scenario" {
		cmd = exec.Command("go", "test", "-count=1", "-run", "^TestScenarios$/^"+name+"$", ".")
		cmd.Env = append(os.Environ(), overlayVariable+"="+overlay, "GYP_PROOF=")
		cmd.Dir = filepath.Join(root, "test")
	} else {
		cmd = exec.Command("go", "test", "-count=1", "-timeout", propertyTimeout, "-overlay", overlay, "-run", "^"+name+"$", ".")
		cmd.Dir = filepath.Join(root, location)
	}
	out, err := cmd.CombinedOutput()
	for _, marker := range []string{"[build failed]", "[setup failed]", "building the programs", "gave up waiting", "no tests to run"} {
		if strings.Contains(string(out), marker) {
			t.Fatalf("the test fails for another reason than the mutant:\n%s", out)
		}
	}
	if err == nil {
		t.Errorf("%s passes without rule %s", m.test, m.rule)
	}
}

// overlay writes the mutated files and an overlay file, which makes the go command read
// them in place of the original ones. It returns the path of the overlay file.
func (m mutant) overlay(t *testing.T, root string) string {
	sources := map[string]string{}
	for _, e := range append([]edit{{m.file, m.old, m.new}}, m.more...) {
		file := filepath.Join(root, e.file)
		if _, ok := sources[file]; !ok {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			sources[file] = string(text)
		}
		if strings.Count(sources[file], e.old) != 1 {
			t.Fatalf("%s does not contain %q exactly once", e.file, e.old)
		}
		sources[file] = strings.Replace(sources[file], e.old, e.new, 1)
	}
	dir := t.TempDir()
	replace := map[string]string{}
	for file, text := range sources {
		mutated := filepath.Join(dir, filepath.Base(filepath.Dir(file))+"-"+filepath.Base(file))
		if err := os.WriteFile(mutated, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		replace[file] = mutated
	}
	overlayJSON, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(path, overlayJSON, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
