// Command gypprove reads what the proofs noted and prints a line for each of the
// brief's points. It exits with 1 if a point is red or unproved.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/proof"
)

func main() { os.Exit(life.Exit(run(os.Args[1:]), os.Stderr)) }

func run(args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("want one argument: the file of notes")
	}
	file, err := os.Open(args[0])
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	notes, err := proof.Read(file)
	if err != nil {
		return err
	}
	open := 0
	for _, point := range proof.Points {
		line := proof.Line(point, notes)
		fmt.Println(line)
		if !strings.HasPrefix(line, point+" held") {
			open++
		}
	}
	if open > 0 {
		return fmt.Errorf("%d points are not held", open)
	}
	return nil
}
