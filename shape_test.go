package tackhub_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"slices"
	"strings"
	"testing"
)

// The limits of what a reader has to hold at once. Code that needs more has more than one job.
const (
	maxFileLines     = 400
	maxFunctionLines = 60 // some 50 are meant; the rest is for tables of literals
	maxStructFields  = 30
)

// fixedForms are structs whose fields are a form that other processes have, by name: they cannot be cut into parts.
var fixedForms = []string{
	"digestedBalancer", // the settings as both processes of an upgrade digest them (internal/settings)
}

// Files, functions and structs grow by a line at a time, and no single change looks like the one that made them too large.
func TestCodeStaysWithinLimits(t *testing.T) {
	for _, file := range productFiles(t) {
		for _, excess := range exceeded(file) {
			t.Error(excess)
		}
	}
}

// The check itself is tried on a file that is beyond each limit once, and at each limit once.
func TestExceededLimitsAreFound(t *testing.T) {
	source := "package sample\n" +
		"func atLimit() {\n" + strings.Repeat("\n", maxFunctionLines-2) + "}\n" +
		"func beyondLimit() {\n" + strings.Repeat("\n", maxFunctionLines-1) + "}\n" +
		"type atLimitToo struct {\n" + strings.Repeat("\ta, b int\n", maxStructFields/2) + "}\n" +
		"type beyondLimitToo struct {\n" + strings.Repeat("\ta, b int\n", maxStructFields/2) + "\tembedded\n}\n" +
		strings.Repeat("\n", maxFileLines)
	set := token.NewFileSet()
	syntax, err := parser.ParseFile(set, "sample.go", source, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	got := exceeded(sourceFile{set: set, syntax: syntax})
	want := []string{"beyondLimit", "beyondLimitToo", "sample.go"}
	if len(got) != len(want) {
		t.Fatalf("found %q, want one for each of %q", got, want)
	}
	for _, name := range want {
		if !slices.ContainsFunc(got, func(text string) bool { return strings.Contains(text, name+" has ") }) {
			t.Errorf("%s is not among %q", name, got)
		}
	}
}

// exceeded describes what of a file is beyond the limits.
func exceeded(file sourceFile) []string {
	var found []string
	report := func(node ast.Node, name string, size, limit int, unit string) {
		if size > limit {
			found = append(found, fmt.Sprintf("%s: %s has %d %s, at most %d are allowed", file.set.Position(node.Pos()), name, size, unit, limit))
		}
	}
	whole := file.set.File(file.syntax.Pos())
	report(file.syntax, whole.Name(), whole.LineCount(), maxFileLines, "lines")
	ast.Inspect(file.syntax, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.FuncDecl:
			lines := file.set.Position(n.End()).Line - file.set.Position(n.Pos()).Line + 1
			report(n, n.Name.Name, lines, maxFunctionLines, "lines")
		case *ast.TypeSpec:
			structure, ok := n.Type.(*ast.StructType)
			if ok && !slices.Contains(fixedForms, n.Name.Name) {
				report(n, n.Name.Name, structure.Fields.NumFields(), maxStructFields, "fields")
			}
		}
		return true
	})
	return found
}
