package cause

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// decided are the functions whose arguments name a reason.
var decided = map[string]bool{
	"finish": true, "refuse": true, "abandon": true, "gone": true, "bad": true, "giveUp": true, "tellRefused": true,
}

// Every reason that a job or task is refused, placed again or stopped for is one
// of this package's, so that each has its counter.
func TestReasonsAreOfTheList(t *testing.T) {
	for _, dir := range []string{"../gate", "../coord", "../link", "../../../platform"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d files, %v", dir, len(files), err)
		}
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				inspect(t, file)
			}
		}
	}
}

func inspect(t *testing.T, file string) {
	set := token.NewFileSet()
	tree, err := parser.ParseFile(set, file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	wrong := func(e ast.Expr) {
		if lit, ok := e.(*ast.BasicLit); ok && lit.Kind == token.STRING && lit.Value != `""` {
			t.Errorf("%s: the reason %s has no counter", set.Position(lit.Pos()), lit.Value)
		}
	}
	ast.Inspect(tree, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.KeyValueExpr:
			if key, ok := n.Key.(*ast.Ident); ok && (key.Name == "Reason" || key.Name == "Aside") {
				wrong(n.Value)
			}
		case *ast.CallExpr:
			if f, ok := n.Fun.(*ast.SelectorExpr); ok && decided[f.Sel.Name] {
				for _, arg := range n.Args {
					wrong(arg)
				}
			}
			if f, ok := n.Fun.(*ast.SelectorExpr); ok && strings.EqualFold(f.Sel.Name, "count") {
				for _, arg := range n.Args {
					counted(t, set, arg)
				}
			}
		}
		return true
	})
}

// counted checks that no counter's name spells a reason.
func counted(t *testing.T, set *token.FileSet, arg ast.Expr) {
	lit, ok := arg.(*ast.BasicLit)
	if sum, isSum := arg.(*ast.BinaryExpr); isSum {
		lit, ok = sum.X.(*ast.BasicLit)
	}
	if !ok {
		return
	}
	for _, prefix := range []string{Refused, Retried, Stopped, BreakerOpened} {
		if strings.HasPrefix(lit.Value, `"`+prefix) {
			t.Errorf("%s: %s spells a reason", set.Position(lit.Pos()), lit.Value)
		}
	}
}

// Every constant that is a reason for a refusal or a retry is shown from the
// start.
func TestEveryReasonIsShown(t *testing.T) {
	text, err := os.ReadFile("cause.go")
	if err != nil {
		t.Fatal(err)
	}
	shown := strings.Join(append(EntryCounters(), NodeCounters()...), " ") + " "
	notCounted := map[string]bool{"attempts": true, "callerleft": true, "ended": true, "otherlife": true}
	for _, line := range strings.Split(string(text), "\n") {
		_, rest, ok := strings.Cut(line, "= \"")
		name, _, _ := strings.Cut(rest, `"`)
		if !ok || strings.HasSuffix(name, ".") || notCounted[name] {
			continue
		}
		if !strings.Contains(shown, "."+name+" ") {
			t.Errorf("no counter for %q", name)
		}
	}
}
