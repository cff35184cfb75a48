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

// TestPolicyLinesCanBeRead: each policy file is there, has something in it, and no line of over 110 characters. The operators no
// longer limit the number of lines.
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

// emitters are the functions outside the policy files that emit an action as it is now: the two by which all do, two that write log
// lines and one that sets the sweep's timer. Another one is a decision where nobody looks for it.
var emitters = []string{"do", "logf", "hearing", "tellZones", "wakeSweep"}

// TestNoFurtherFunctionOutsideThePolicyEmitsActions guards against decisions that move to where no lines are counted.
func TestNoFurtherFunctionOutsideThePolicyEmitsActions(t *testing.T) {
	actions := []string{"StartAttempt", "CancelAttempt", "Reject", "Fail", "SetTimer", "ProbeLoad", "WatchEndpoints", "BroadcastGossip", "Log"}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") || slices.Contains(policyFiles(t), "balancer/"+name) {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range file.Decls {
			f, ok := d.(*ast.FuncDecl)
			if !ok || f.Body == nil {
				continue
			}
			emits := false
			ast.Inspect(f.Body, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.SelectorExpr:
					emits = emits || n.Sel.Name == "do" || n.Sel.Name == "logf"
				case *ast.CallExpr: // what these append to
					id, ok := n.Fun.(*ast.Ident)
					if ok && id.Name == "append" && len(n.Args) > 0 {
						to, ok := n.Args[0].(*ast.SelectorExpr)
						emits = emits || ok && to.Sel.Name == "out"
					}
				case *ast.CompositeLit:
					id, ok := n.Type.(*ast.Ident)
					emits = emits || ok && slices.Contains(actions, id.Name)
				}
				return true
			})
			if emits {
				found = append(found, f.Name.Name)
			}
		}
	}
	for _, name := range found {
		if !slices.Contains(emitters, name) {
			t.Errorf("%s emits an action outside the policy files", name)
		}
	}
	if len(found) < 2 {
		t.Errorf("found %v alone: the check sees nothing", found)
	}
}
