package tackhub_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Pages name files, packages, identifiers and tests. If a rename does not update a page, its readers look for something that no
// longer exists, and nothing else in the build reports it. Each such name on a page about the current code must exist.
func TestPagesNameWhatExists(t *testing.T) {
	declared := declaredNames(t)
	for _, page := range currentPages(t) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for number, line := range strings.Split(string(text), "\n") {
			for _, name := range missingNames(line, declared) {
				t.Errorf("%s:%d: %s does not exist", page, number+1, name)
			}
		}
	}
}

// missingNames must report each kind of name that does not exist, and no name that exists.
func TestMissingNamesAreFound(t *testing.T) {
	declared := nameIndex{
		members: map[string]map[string]bool{"sample": {"Known": true, "Type": true, "camelKnown": true}},
		tests:   map[string]bool{"TestKnown": true},
	}
	const line = "`sample.Known`, `sample.Gone`, `sample.key`, `other.Name`, `sample.Known.Field`, `docs/glossary.md`, `docs/gone.md`, " +
		"`internal/...`, `TestKnown`, `TestGone`, `sample.TestGone`, `Type.Known`, `Type.Gone`, `camelKnown`, `camelGone`, `plain`, plain docs/gone.md"
	want := []string{"sample.Gone", "docs/gone.md", "TestGone", "sample.TestGone", "Type.Gone", "camelGone"}
	if got := missingNames(line, declared); !slices.Equal(got, want) {
		t.Errorf("missing names = %q, want %q", got, want)
	}
}

// uncheckedPages are not checked, because they describe plans, or the past with the names of that time.
var uncheckedPages = []string{"docs/incidents", "docs/standing.md", "docs/ROADMAP.md"}

// currentPages returns the pages that describe the current code.
func currentPages(t *testing.T) []string {
	t.Helper()
	pages := []string{"README.md"}
	err := filepath.WalkDir("docs", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case slices.Contains(uncheckedPages, path):
			if entry.IsDir() {
				return filepath.SkipDir
			}
		case strings.HasSuffix(path, ".md"):
			pages = append(pages, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return pages
}

// nameIndex holds the names that the module declares.
type nameIndex struct {
	members map[string]map[string]bool // by package name: declared names, including fields and methods of types
	tests   map[string]bool            // tests, benchmarks and fuzz targets
}

var (
	// backquoted matches text in backquotes.
	backquoted = regexp.MustCompile("`([^`]+)`")

	// pathName matches a path relative to the root directory of the module.
	pathName = regexp.MustCompile(`^(?:internal|cmd|lab|balancer|docs|deploy)/[\w./-]+$`)

	// memberName matches a package name and a name in it that contains a capital letter, with or without a member after it. A
	// name without a capital letter could also be a settings key or a counter, so it is not checked.
	memberName = regexp.MustCompile(`^([a-z]+)\.([a-z]*[A-Z]\w*)`)

	// typeMember matches a type and a member of it.
	typeMember = regexp.MustCompile(`^([A-Z]+[a-z]\w*)\.([A-Za-z]\w*)$`)

	// mixedCaps matches an identifier that cannot be an ordinary word.
	mixedCaps = regexp.MustCompile(`^(?:[a-z]+|[A-Z][a-z]+)[A-Z]\w*$`)

	// testName matches the name of a test, a benchmark or a fuzz target.
	testName = regexp.MustCompile(`^(?:Test|Benchmark|Fuzz)[A-Z]\w*$`)
)

// missingNames returns the names in backquotes in a line that do not exist.
func missingNames(line string, declared nameIndex) []string {
	var missing []string
	for _, match := range backquoted.FindAllStringSubmatch(line, -1) {
		if text := match[1]; !nameExists(text, declared) {
			missing = append(missing, text)
		}
	}
	return missing
}

// nameExists reports whether the item that a text names exists. It returns true for a text that does not name an item of the module.
func nameExists(text string, declared nameIndex) bool {
	if pathName.MatchString(text) {
		path := strings.TrimSuffix(text, "/...")
		_, err := os.Stat(path)
		return err == nil
	}
	if testName.MatchString(text) {
		return declared.tests[text]
	}
	if match := memberName.FindStringSubmatch(text); match != nil {
		members, isPackage := declared.members[match[1]]
		return !isPackage || members[match[2]]
	}
	if match := typeMember.FindStringSubmatch(text); match != nil {
		return declared.declaresAll(match[1], match[2])
	}
	return !mixedCaps.MatchString(text) || declared.declaresAll(text)
}

// declaredNames parses the Go files of the module and returns the names that they declare.
func declaredNames(t *testing.T) nameIndex {
	t.Helper()
	declared := nameIndex{members: map[string]map[string]bool{}, tests: map[string]bool{}}
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != "." && isSkippedDirectory(entry.Name()):
			return filepath.SkipDir
		case !strings.HasSuffix(path, ".go"):
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		declared.add(file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return declared
}

// declaresAll reports whether a single package declares all wanted names.
func (n nameIndex) declaresAll(wanted ...string) bool {
	for _, members := range n.members {
		if !slices.ContainsFunc(wanted, func(name string) bool { return !members[name] }) {
			return true
		}
	}
	return false
}

// add adds the names that a file declares.
func (n nameIndex) add(file *ast.File) {
	pkg := file.Name.Name
	if n.members[pkg] == nil {
		n.members[pkg] = map[string]bool{}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch d := node.(type) {
		case *ast.FuncDecl:
			n.members[pkg][d.Name.Name] = true
			if testName.MatchString(d.Name.Name) {
				n.tests[d.Name.Name] = true
			}
			return false
		case *ast.TypeSpec:
			n.members[pkg][d.Name.Name] = true
		case *ast.ValueSpec:
			n.addAll(pkg, d.Names)
		case *ast.Field:
			n.addAll(pkg, d.Names)
		}
		return true
	})
}

// addAll adds identifiers to the names of a package.
func (n nameIndex) addAll(pkg string, identifiers []*ast.Ident) {
	for _, identifier := range identifiers {
		n.members[pkg][identifier.Name] = true
	}
}
