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

// Pages name files, packages, identifiers and tests. A rename that leaves them behind sends a reader to what is no longer
// there, and nothing else in the build notices: so each such name on a page that describes the present must exist.
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

// The check itself is tried on a line with each kind of name, present and missing.
func TestMissingNamesAreFound(t *testing.T) {
	declared := names{
		members: map[string]map[string]bool{"sample": {"Known": true, "Type": true, "camelKnown": true}},
		tests:   map[string]bool{"TestKnown": true},
	}
	const line = "`sample.Known`, `sample.Gone`, `sample.key`, `other.Name`, `sample.Known.Field`, `docs/glossary.md`, `docs/gone.md`, " +
		"`internal/...`, `TestKnown`, `TestGone`, `sample.TestGone`, `Type.Known`, `Type.Gone`, `camelKnown`, `camelGone`, `plain`, plain docs/gone.md"
	want := []string{"sample.Gone", "docs/gone.md", "TestGone", "sample.TestGone", "Type.Gone", "camelGone"}
	if got := missingNames(line, declared); !slices.Equal(got, want) {
		t.Errorf("missing are %q, want %q", got, want)
	}
}

// historicalPages tell of the past with the names of their time, or of plans.
var historicalPages = []string{"docs/incidents", "docs/standing.md", "docs/ROADMAP.md"}

// currentPages gives the pages that describe the present.
func currentPages(t *testing.T) []string {
	t.Helper()
	pages := []string{"README.md"}
	err := filepath.WalkDir("docs", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case slices.Contains(historicalPages, path):
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

// names are the declared names of the module.
type names struct {
	members map[string]map[string]bool // by package name: what is declared in it, members of its types as well
	tests   map[string]bool            // tests, benchmarks and fuzz targets
}

var (
	// quoted is text in backquotes.
	quoted = regexp.MustCompile("`([^`]+)`")

	// pathName is a path from the module's root.
	pathName = regexp.MustCompile(`^(?:internal|cmd|lab|balancer|docs|deploy)/[\w./-]+$`)

	// memberName is a package and a name in it with a capital, perhaps with a member of its own behind it. A name without a
	// capital may as well be a key of the settings or a counter's.
	memberName = regexp.MustCompile(`^([a-z]+)\.([a-z]*[A-Z]\w*)`)

	// typeMember is a type and a member of it.
	typeMember = regexp.MustCompile(`^([A-Z]+[a-z]\w*)\.([A-Za-z]\w*)$`)

	// mixedCaps is an identifier that cannot be a plain word.
	mixedCaps = regexp.MustCompile(`^(?:[a-z]+|[A-Z][a-z]+)[A-Z]\w*$`)

	// testName is a test, a benchmark or a fuzz target.
	testName = regexp.MustCompile(`^(?:Test|Benchmark|Fuzz)[A-Z]\w*$`)
)

// missingNames gives the names in a line's backquotes that do not exist.
func missingNames(line string, declared names) []string {
	var missing []string
	for _, match := range quoted.FindAllStringSubmatch(line, -1) {
		if text := match[1]; !exists(text, declared) {
			missing = append(missing, text)
		}
	}
	return missing
}

// exists reports whether what a text names exists; a text that names nothing of the module does.
func exists(text string, declared names) bool {
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
		return declared.anywhere(match[1], match[2])
	}
	return !mixedCaps.MatchString(text) || declared.anywhere(text)
}

// declaredNames parses the module and gives its names.
func declaredNames(t *testing.T) names {
	t.Helper()
	declared := names{members: map[string]map[string]bool{}, tests: map[string]bool{}}
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != "." && skippedDirectory(entry.Name()):
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

// anywhere reports whether one package declares all of some names.
func (n names) anywhere(wanted ...string) bool {
	for _, members := range n.members {
		if !slices.ContainsFunc(wanted, func(name string) bool { return !members[name] }) {
			return true
		}
	}
	return false
}

// add adds the names of a file.
func (n names) add(file *ast.File) {
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

// addAll adds names to a package.
func (n names) addAll(pkg string, identifiers []*ast.Ident) {
	for _, identifier := range identifiers {
		n.members[pkg][identifier.Name] = true
	}
}
