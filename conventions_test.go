// Package tackhub_test checks the conventions that hold for the source of the whole module.
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

// A reader who meets an exported name in an editor or in go doc sees its doc comment and nothing else. staticcheck looks at
// the form of doc comments that are there; that one is missing it does not report, so this test does.
func TestExportedItemsHaveDocComments(t *testing.T) {
	for _, file := range productFiles(t) {
		for _, name := range undocumented(file.syntax) {
			t.Errorf("%s: exported %s has no doc comment", file.set.Position(name.Pos()), name.Name)
		}
	}
}

// The check itself is tried on a file in which every kind of item stands once with and once without a doc comment: a check
// that passes over a kind of item would let the whole tree pass.
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
		t.Errorf("undocumented are %s, want %s", got, want)
	}
}

// sourceFile is a parsed file with the set that tells its positions.
type sourceFile struct {
	set    *token.FileSet
	syntax *ast.File
}

// productFiles parses all Go files of the module but tests and generated code.
func productFiles(t *testing.T) []sourceFile {
	t.Helper()
	var files []sourceFile
	set := token.NewFileSet()
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != "." && skippedDirectory(entry.Name()):
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
		t.Fatal("no source files found: the test must run at the module's root")
	}
	return files
}

// skippedDirectory tells the directories that the go command passes over.
func skippedDirectory(name string) bool {
	return name == "testdata" || strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_")
}

// undocumented gives the exported items of a file without a doc comment, in the order of the file. The comment of a group of
// constants, variables or types stands for all in it; so does a comment at the end of an item's own line.
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

// undocumentedSpecs gives the exported names of a declaration whose own lines have no comment.
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

// receiverIsExported reports whether a function is none of an unexported type's methods.
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
