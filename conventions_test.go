// Package tackhub_test checks the source conventions of the whole module.
package tackhub_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// Every exported item needs a doc comment, because editors and go doc show nothing else about it. staticcheck checks only the
// form of existing doc comments, so this test reports the missing ones.
func TestExportedItemsHaveDocComments(t *testing.T) {
	for _, file := range nonTestFiles(t) {
		for _, name := range undocumented(file.syntax) {
			t.Errorf("%s: exported %s has no doc comment", file.set.Position(name.Pos()), name.Name)
		}
	}
}

// undocumented must report every kind of exported item without a doc comment. If it ignored one kind, the test of the module
// would pass without checking it. The sample file has each kind with and without a doc comment.
func TestUndocumentedItemsAreFound(t *testing.T) {
	const source = `package sample

// Documented is documented.
type Documented struct{}

type Type struct{}

// Grouped is documented in its group.
type (
	Grouped struct{}
	// OwnComment is documented by itself.
	OwnComment struct{}
)

// Method is documented.
func (Documented) Method() {}

func (*Type) Pointer()         {}
func (Generic[T]) OfGeneric()  {}
func (hidden) OfUnexported()   {}

// Generic is documented.
type Generic[T any] struct{}

type hidden struct{}

// Function is documented.
func Function() {}

func Bare() {}

// States of something.
const (
	StateA = iota
	StateB
)

const Alone = 1

var (
	Described = 1 // what it says
	Nothing   = 2
)
`
	set := token.NewFileSet()
	syntax, err := parser.ParseFile(set, "sample.go", source, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, name := range undocumented(syntax) {
		found = append(found, name.Name)
	}
	const want = "[Type Pointer OfGeneric Bare Alone Nothing]"
	if got := fmt.Sprint(found); got != want {
		t.Errorf("undocumented items = %s, want %s", got, want)
	}
}

// sourceFile is a parsed file with the file set that resolves its positions.
type sourceFile struct {
	set    *token.FileSet
	syntax *ast.File
}

// nonTestFiles parses all Go files of the module except tests and generated code.
func nonTestFiles(t *testing.T) []sourceFile {
	t.Helper()
	var files []sourceFile
	set := token.NewFileSet()
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != "." && isSkippedDirectory(entry.Name()):
			return filepath.SkipDir
		case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		syntax, err := parser.ParseFile(set, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		if !ast.IsGenerated(syntax) {
			files = append(files, sourceFile{set: set, syntax: syntax})
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(files) == 0 {
		t.Fatal("no source files found, run the test in the root directory of the module")
	}
	return files
}

// isSkippedDirectory reports whether the go command ignores a directory.
func isSkippedDirectory(name string) bool {
	return name == "testdata" || strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_")
}

// undocumented returns the exported items of a file that have no doc comment, in the order of the file. The comment of a group
// of constants, variables or types documents all items of the group. A comment at the end of an item's line counts as well.
func undocumented(file *ast.File) []*ast.Ident {
	var names []*ast.Ident
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if d.Doc == nil && d.Name.IsExported() && receiverIsExported(d) {
				names = append(names, d.Name)
			}
		case *ast.GenDecl:
			if d.Doc == nil {
				names = append(names, undocumentedSpecs(d)...)
			}
		}
	}
	return names
}

// undocumentedSpecs returns the exported names of a declaration that have no comment of their own.
func undocumentedSpecs(declaration *ast.GenDecl) []*ast.Ident {
	var names []*ast.Ident
	for _, spec := range declaration.Specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			if s.Doc == nil && s.Comment == nil && s.Name.IsExported() {
				names = append(names, s.Name)
			}
		case *ast.ValueSpec:
			if s.Doc != nil || s.Comment != nil {
				continue
			}
			for _, name := range s.Names {
				if name.IsExported() {
					names = append(names, name)
				}
			}
		}
	}
	return names
}

// receiverIsExported reports whether a function has no receiver or a receiver of an exported type.
func receiverIsExported(function *ast.FuncDecl) bool {
	if function.Recv == nil {
		return true
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	switch generic := receiver.(type) {
	case *ast.IndexExpr:
		receiver = generic.X
	case *ast.IndexListExpr:
		receiver = generic.X
	}
	name, ok := receiver.(*ast.Ident)
	return ok && name.IsExported()
}
