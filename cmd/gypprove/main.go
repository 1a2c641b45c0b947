// Command gypprove runs the tests of the points of the users' brief and prints a
// line for each point. It has to run in the root of the repository. It exits with
// 1 if a point does not hold or no test covers it, or if a test still passes
// after the rule that it guards has been removed.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/proof"
)

// propertySeed is the seed of property-based tests, which package seed fixes.
const propertySeed = 1

// propertyTest is a property-based or table-driven test that covers some points.
type propertyTest struct {
	points []string // names of the points, such as P1
	dir    string   // relative to the root of the repository
	test   string   // name of the test
	tried  string   // what the test varies, for the report
}

// propertyTests are the tests that cover points beside the scenarios of TestScenarios.
var propertyTests = []propertyTest{
	{[]string{"P1", "P4", "P5"}, "internal/core/ledger", "TestKeyRunsAtMostOnce", "homes that move, restart, hand over and forget"},
	{[]string{"P1", "P4", "P5"}, "internal/core/starts", "TestTaskStartsAtMostOnce", "starts and questions in any order"},
	{[]string{"P1", "P4"}, "internal/node/target", "TestAnswersOfATarget", "targets that redirect, hang up, decline"},
	{[]string{"P2", "P4"}, "internal/node/home", "TestOutcomeIsWholeOrAnHonestFailure", "task results in any order"},
	{[]string{"P4"}, "internal/entry/web", "TestOnlyAKeyOfTheEntrysOwnIsKnownNotToHaveRun", "refusals before a home"},
	{[]string{"P6"}, "internal/node/gate", "TestLeavingTargetEndsWhatRunsAndStartsNothing", "a gate whose target leaves"},
	{[]string{"P8"}, "internal/wire/view", "TestNothingGoesBack", "news in any order"},
	{[]string{"P8"}, "internal/entry/edit", "TestEveryAcceptedEditIsMadeOnce", "operators race, replies are lost"},
}

func main() { os.Exit(life.ExitCode(run(), os.Stderr)) }

func run() error {
	dir, err := os.MkdirTemp("", "gypprove")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	notesPath := filepath.Join(dir, "notes")
	if err := os.Setenv(proof.FileEnvVar, notesPath); err != nil {
		return err
	}
	for _, p := range propertyTests {
		if err := p.prove(); err != nil {
			return err
		}
	}
	scenarios := runTest("test", "TestScenarios")
	mutants := runTest("test", "TestPropertiesCatchBrokenRules")
	return errors.Join(printReport(notesPath), scenarios, mutants)
}

// prove runs the test and records whether its points hold.
func (p propertyTest) prove() error {
	held := runTest(p.dir, p.test) == nil
	for _, point := range p.points {
		note := proof.Result{Point: point, Held: held, Seed: propertySeed, Conditions: p.tried}
		if err := proof.Record(note); err != nil {
			return err
		}
	}
	return nil
}

// runTest runs one test, and prints its output and returns an error if it fails.
func runTest(dir, test string) error {
	cmd := exec.Command("go", "test", "-count=1", "-run", "^"+test+"$", ".")
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if err != nil {
		fmt.Printf("%s", out)
		return fmt.Errorf("%s in %s: %w", test, dir, err)
	}
	return nil
}

// printReport prints a line for each point from the notes in a file, and returns an error
// that names the points that do not hold.
func printReport(notesPath string) error {
	file, err := os.Open(notesPath)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	notes, err := proof.Read(file)
	if err != nil {
		return err
	}
	var notHeld []string
	for _, point := range proof.Points {
		line := proof.Summary(point, notes)
		fmt.Println(line)
		if !strings.HasPrefix(line, point+" held") {
			notHeld = append(notHeld, point)
		}
	}
	if len(notHeld) > 0 {
		return fmt.Errorf("not held: %s", strings.Join(notHeld, ", "))
	}
	return nil
}
