package balancer

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// policyFiles returns the files with decision logic that deploy/balancer.toml lists, as paths from the root.
func policyFiles(t *testing.T) []string {
	t.Helper()
	var deploy struct{ Policy []string }
	if _, err := toml.DecodeFile("../deploy/balancer.toml", &deploy); err != nil {
		t.Fatal(err)
	}
	if len(deploy.Policy) == 0 {
		t.Fatal("deploy/balancer.toml lists no policy files")
	}
	return deploy.Policy
}

// Each policy file must exist, have content and have no line of more than 110 characters. The number of
// lines is not limited.
func TestPolicyFilesHaveNoLongLines(t *testing.T) {
	for _, name := range policyFiles(t) {
		text, err := os.ReadFile(filepath.Join("..", name))
		if err != nil {
			t.Fatal(err)
		}
		if len(strings.TrimSpace(string(text))) == 0 {
			t.Errorf("%s is empty", name)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if n := len([]rune(line)); n > 110 {
				t.Errorf("%s: line %d has %d characters, want at most 110", name, i+1, n)
			}
		}
	}
}

// actionTypes are the names of the Action types.
var actionTypes = []string{"StartAttempt", "CancelAttempt", "Reject", "Fail", "SetTimer", "ProbeLoad", "WatchEndpoints", "BroadcastGossip", "Log"}

// minEmitters is the minimum number of emitting functions that the check must find in the policy files. If
// it finds fewer, it no longer recognizes the code that emits actions.
const minEmitters = 15

// Only the policy files that deploy/balancer.toml lists may contain decisions. A function in another file
// of the package that emits an action would be a decision that reviewers don't expect there.
func TestOnlyPolicyFilesEmitActions(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	policy := policyFiles(t)
	policyEmitters := 0
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		emitters := emittersIn(t, name)
		if slices.Contains(policy, "balancer/"+name) {
			policyEmitters += len(emitters)
			continue
		}
		for _, function := range emitters {
			t.Errorf("%s in %s emits an action outside the policy files", function, name)
		}
	}
	if policyEmitters < minEmitters {
		t.Errorf("functions in the policy files that emit actions = %d, want at least %d", policyEmitters, minEmitters)
	}
}

// emittersIn returns the names of the functions in a file that emit an action.
func emittersIn(t *testing.T, name string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, d := range file.Decls {
		if f, ok := d.(*ast.FuncDecl); ok && f.Body != nil && emits(f.Body) {
			found = append(found, f.Name.Name)
		}
	}
	return found
}

// emits reports whether a function body emits an action: it calls emit or logf, appends to the actions, or
// contains a literal of an action type.
func emits(body *ast.BlockStmt) bool {
	found := false
	ast.Inspect(body, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.SelectorExpr:
			found = found || n.Sel.Name == "emit" || n.Sel.Name == "logf"
		case *ast.CallExpr:
			id, ok := n.Fun.(*ast.Ident)
			if ok && id.Name == "append" && len(n.Args) > 0 {
				to, ok := n.Args[0].(*ast.SelectorExpr)
				found = found || ok && to.Sel.Name == "actions"
			}
		case *ast.CompositeLit:
			id, ok := n.Type.(*ast.Ident)
			found = found || ok && slices.Contains(actionTypes, id.Name)
		}
		return true
	})
	return found
}
