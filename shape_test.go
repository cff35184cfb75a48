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

// Size limits that keep code readable. Code beyond them usually has more than one job.
const (
	maxFileLines     = 400
	maxFunctionLines = 60 // about 50 lines are intended; the rest allows for tables of literals
	maxStructFields  = 30
)

// exemptStructs are exempt from maxStructFields. Other processes depend on their fields by name, so they cannot be split.
var exemptStructs = []string{
	"digestedBalancer", // the settings whose digest both processes of an upgrade compare (internal/settings)
}

// Files, functions and structs grow in small steps, so a review of a single change does not show that they became too large.
// This test reports each one beyond its limit.
func TestCodeStaysWithinLimits(t *testing.T) {
	for _, file := range nonTestFiles(t) {
		for _, excess := range limitViolations(file) {
			t.Error(excess)
		}
	}
}

// limitViolations must report each limit that a file exceeds, and nothing that is exactly at a limit.
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
	got := limitViolations(sourceFile{set: set, syntax: syntax})
	want := []string{"beyondLimit", "beyondLimitToo", "sample.go"}
	if len(got) != len(want) {
		t.Fatalf("violations = %q, want one for each of %q", got, want)
	}
	for _, name := range want {
		if !slices.ContainsFunc(got, func(text string) bool { return strings.Contains(text, name+" has ") }) {
			t.Errorf("violation of %s is not among %q", name, got)
		}
	}
}

// limitViolations describes each limit that a file, or a function or struct in it, exceeds.
func limitViolations(file sourceFile) []string {
	var violations []string
	report := func(node ast.Node, name string, size, limit int, unit string) {
		if size > limit {
			violations = append(violations, fmt.Sprintf("%s: %s has %d %s, at most %d are allowed", file.set.Position(node.Pos()), name,
				size, unit, limit))
		}
	}
	tokenFile := file.set.File(file.syntax.Pos())
	report(file.syntax, tokenFile.Name(), tokenFile.LineCount(), maxFileLines, "lines")
	ast.Inspect(file.syntax, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.FuncDecl:
			lines := file.set.Position(n.End()).Line - file.set.Position(n.Pos()).Line + 1
			report(n, n.Name.Name, lines, maxFunctionLines, "lines")
		case *ast.TypeSpec:
			structure, ok := n.Type.(*ast.StructType)
			if ok && !slices.Contains(exemptStructs, n.Name.Name) {
				report(n, n.Name.Name, structure.Fields.NumFields(), maxStructFields, "fields")
			}
		}
		return true
	})
	return violations
}
