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

// policyFiles are those that deploy/balancer.toml names, by their paths from the root.
func policyFiles(t *testing.T) []string {
	t.Helper()
	var deploy struct{ Policy []string }
	if _, err := toml.DecodeFile("../deploy/balancer.toml", &deploy); err != nil {
		t.Fatal(err)
	}
	if len(deploy.Policy) == 0 {
		t.Fatal("deploy/balancer.toml names no policy")
	}
	return deploy.Policy
}

// TestPolicyLinesCanBeRead: each policy file is there, has something in it, and no line of over 110
// characters. The operators no longer limit the number of lines.
func TestPolicyLinesCanBeRead(t *testing.T) {
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
				t.Errorf("%s: line %d has %d characters", name, i+1, n)
			}
		}
	}
}

// actionTypes are the types whose literals are decisions.
var actionTypes = []string{"StartAttempt", "CancelAttempt", "Reject", "Fail", "SetTimer", "ProbeLoad", "WatchEndpoints", "BroadcastGossip", "Log"}

// minEmitters is how many functions must be found inside the policy files: with fewer the check
// sees nothing.
const minEmitters = 15

// TestNoFunctionOutsideThePolicyEmitsActions guards against decisions in files where nobody looks
// for them: deploy/balancer.toml names the files that decide, and a function elsewhere in the
// package that emits an action decides too.
func TestNoFunctionOutsideThePolicyEmitsActions(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	policy := policyFiles(t)
	inside := 0
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		emitters := emittersIn(t, name)
		if slices.Contains(policy, "balancer/"+name) {
			inside += len(emitters)
			continue
		}
		for _, function := range emitters {
			t.Errorf("%s in %s emits an action outside the policy files", function, name)
		}
	}
	if inside < minEmitters {
		t.Errorf("found %d functions that emit actions inside the policy files: the check sees nothing", inside)
	}
}

// emittersIn names the functions of a file that emit an action.
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

// emits reports whether a function emits an action: through emit or logf, by appending to the
// actions, or by making one.
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
