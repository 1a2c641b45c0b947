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

// reasonFuncs are the names of functions with a reason among their arguments.
var reasonFuncs = map[string]bool{
	"finish": true, "refuse": true, "abandon": true, "endIncarnation": true, "recordFailure": true, "refuseIfOverdue": true, "reject": true,
}

// TestReasonsAreConstants checks that every reason for which a job or task is refused,
// retried or stopped is a constant of this package, so that each has a counter.
func TestReasonsAreConstants(t *testing.T) {
	for _, dir := range []string{"../gate", "../coord", "../link", "../../../platform"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d files, %v", dir, len(files), err)
		}
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				checkReasons(t, file)
			}
		}
	}
}

// checkReasons reports an error for each string literal in the file that is used as a
// reason or that contains one as part of a counter name.
func checkReasons(t *testing.T, file string) {
	fset := token.NewFileSet()
	tree, err := parser.ParseFile(fset, file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	rejectLiteral := func(e ast.Expr) {
		if lit, ok := e.(*ast.BasicLit); ok && lit.Kind == token.STRING && lit.Value != `""` {
			t.Errorf("%s: the reason %s is a literal instead of a constant of package cause", fset.Position(lit.Pos()), lit.Value)
		}
	}
	ast.Inspect(tree, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.KeyValueExpr:
			if key, ok := n.Key.(*ast.Ident); ok && (key.Name == "Reason" || key.Name == "BlockedReason") {
				rejectLiteral(n.Value)
			}
		case *ast.CallExpr:
			if f, ok := n.Fun.(*ast.SelectorExpr); ok && reasonFuncs[f.Sel.Name] {
				for _, arg := range n.Args {
					rejectLiteral(arg)
				}
			}
			if f, ok := n.Fun.(*ast.SelectorExpr); ok && strings.EqualFold(f.Sel.Name, "count") {
				for _, arg := range n.Args {
					checkCounterName(t, fset, arg)
				}
			}
		}
		return true
	})
}

// checkCounterName reports an error if a counter name is a string literal that starts
// with the prefix of a counter of reasons.
func checkCounterName(t *testing.T, fset *token.FileSet, arg ast.Expr) {
	lit, ok := arg.(*ast.BasicLit)
	if sum, isSum := arg.(*ast.BinaryExpr); isSum {
		lit, ok = sum.X.(*ast.BasicLit)
	}
	if !ok {
		return
	}
	for _, prefix := range []string{RefusedPrefix, FailedPrefix, AbandonedPrefix, RetriedPrefix, StoppedPrefix, BreakerOpenedPrefix} {
		if strings.HasPrefix(lit.Value, `"`+prefix) {
			t.Errorf("%s: the counter name %s contains a reason as a literal", fset.Position(lit.Pos()), lit.Value)
		}
	}
}

// TestEveryReasonHasCounter checks that entries or nodes expose a counter, from their
// start, for every constant that is a reason for a refusal or a retry.
func TestEveryReasonHasCounter(t *testing.T) {
	source, err := os.ReadFile("cause.go")
	if err != nil {
		t.Fatal(err)
	}
	counters := strings.Join(append(EntryCounters(), NodeCounters()...), " ") + " "
	notCounted := map[string]bool{"ended": true, "otherlife": true}
	for _, line := range strings.Split(string(source), "\n") {
		_, rest, ok := strings.Cut(line, "= \"")
		name, _, _ := strings.Cut(rest, `"`)
		if !ok || strings.HasSuffix(name, ".") || notCounted[name] {
			continue
		}
		if !strings.Contains(counters, "."+name+" ") {
			t.Errorf("no counter for %q", name)
		}
	}
}
