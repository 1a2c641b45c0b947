// Command gypprove runs the proofs of the brief's points, from the repository's
// root, and prints a line for each point. It exits with 1 if a point is red or
// unproved, or if a proof passes without the rule that it guards.
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

// propertySeed is the seed that package seed fixes.
const propertySeed = 1

// property is a property-based or table test that proves some points.
type property struct {
	points []string
	dir    string
	test   string
	tried  string
}

var properties = []property{
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
	path := filepath.Join(dir, "notes")
	if err := os.Setenv(proof.FileEnvVar, path); err != nil {
		return err
	}
	for _, p := range properties {
		if err := p.prove(); err != nil {
			return err
		}
	}
	scenarios := goTest("test", "TestScenarios")
	guards := goTest("test", "TestPropertiesCatchBrokenRules")
	return errors.Join(report(path), scenarios, guards)
}

// prove runs the test and notes whether its points held.
func (p property) prove() error {
	held := goTest(p.dir, p.test) == nil
	for _, point := range p.points {
		note := proof.Result{Point: point, Held: held, Seed: propertySeed, Conditions: p.tried}
		if err := proof.Record(note); err != nil {
			return err
		}
	}
	return nil
}

// goTest runs one test and shows its output if it fails.
func goTest(dir, test string) error {
	cmd := exec.Command("go", "test", "-count=1", "-run", "^"+test+"$", ".")
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if err != nil {
		fmt.Printf("%s", out)
		return fmt.Errorf("%s in %s: %w", test, dir, err)
	}
	return nil
}

// report prints the points' lines from the notes.
func report(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	notes, err := proof.Read(file)
	if err != nil {
		return err
	}
	var open []string
	for _, point := range proof.Points {
		line := proof.Summary(point, notes)
		fmt.Println(line)
		if !strings.HasPrefix(line, point+" held") {
			open = append(open, point)
		}
	}
	if len(open) > 0 {
		return fmt.Errorf("not held: %s", strings.Join(open, ", "))
	}
	return nil
}
