package endpoints

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"tackhub.example/tackhub/internal/cli"
	"tackhub.example/tackhub/internal/inventory"
	"tackhub.example/tackhub/internal/operator"
)

// commandFlags are the flags of the subcommands.
type commandFlags struct {
	edge     string // operator file
	form     string // of a converted list
	stateDir string
	asJSON   bool
}

func (c *commandFlags) declareEdge(f *flag.FlagSet) {
	f.StringVar(&c.edge, "edge", os.Getenv("TACKHUB_EDGE"), "operator `FILE`, for how its files are to be read")
}

func (c *commandFlags) declareConvert(f *flag.FlagSet) {
	c.declareEdge(f)
	f.StringVar(&c.form, "to", "csv", "`FORM`: csv or yaml")
}

func (c *commandFlags) declareShow(f *flag.FlagSet) {
	c.declareEdge(f)
	f.StringVar(&c.stateDir, "state", "", "a node's state `FOLDER`; without it the operator file's, then the files themselves")
	f.BoolVar(&c.asJSON, "json", false, "as JSON")
}

// Command is "tackhub inventory" with its subcommands.
func Command() cli.Command {
	var flags commandFlags
	return cli.Command{Name: "inventory", Help: "Look at lists of servers: lint, diff, convert, show, confirm", Subcommands: []cli.Command{
		{
			Name:      "lint",
			ArgsUsage: "FILE…",
			Help:      "Tell every fault of lists in CSV or YAML, or that there is none",
			Flags:     flags.declareEdge,
			Run:       func(args []string, out io.Writer) error { return lint(out, flags.edge, args) },
		},
		{
			Name:      "diff",
			ArgsUsage: "A B",
			Help:      "Tell what makes the second list of the first",
			Flags:     flags.declareEdge,
			Run:       func(args []string, out io.Writer) error { return diff(out, flags.edge, args) },
		},
		{
			Name:      "convert",
			ArgsUsage: "FILE",
			Help:      "Write a list in the other form to standard output, with a trailer",
			Flags:     flags.declareConvert,
			Run:       func(args []string, out io.Writer) error { return convert(out, flags.edge, flags.form, args) },
		},
		{
			Name:  "show",
			Help:  "Show the view that a node has saved, or that it would merge from its files, and each field's source",
			Flags: flags.declareShow,
			Run:   func(_ []string, out io.Writer) error { return show(out, flags.edge, flags.stateDir, flags.asJSON) },
		},
		{
			Name:      "confirm",
			ArgsUsage: "FILE",
			Help:      "Let a list pass that is held for taking away too much: writes FILE.confirm with its SHA-256",
			Flags:     flags.declareEdge,
			Run:       func(args []string, out io.Writer) error { return confirm(out, flags.edge, args) },
		},
	}}
}

// loadOptions reads the section [inventory] of an operator file; the defaults where there is no file or no section.
func loadOptions(edge string) (*Options, error) {
	if edge == "" {
		return defaults(), nil
	}
	raw, err := os.ReadFile(edge)
	if err != nil {
		return nil, err
	}
	file, err := operator.ParseSection(edge, string(raw), Subsystem().Section)
	if err != nil {
		return nil, err
	}
	if o, ok := file.Options("inventory").(*Options); ok {
		return o, nil
	}
	return defaults(), nil
}

// file is how a path is to be read: as the options say, or plainly where they do not name it.
func (o *Options) file(path string) *File {
	for i := range o.Files {
		if o.Files[i].Path == path {
			return &o.Files[i]
		}
	}
	return &File{Path: path}
}

// loadList reads one list as a node would.
func loadList(o *Options, path string) (inventory.List, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return inventory.List{}, err
	}
	return parseFile(o.file(path), raw)
}

// loadSingleList reads one list as the node of an operator file would.
func loadSingleList(edge, path string) (inventory.List, error) {
	o, err := loadOptions(edge)
	if err != nil {
		return inventory.List{}, err
	}
	return loadList(o, path)
}

// lint prints what is wrong with each list, or its size and hash.
func lint(out io.Writer, edge string, paths []string) error {
	if len(paths) == 0 {
		return errors.New("inventory lint: a file is wanted")
	}
	o, err := loadOptions(edge)
	if err != nil {
		return err
	}
	failed := false
	for _, path := range paths {
		list, err := loadList(o, path)
		if err != nil {
			failed = true
			printDiagnostics(out, err)
			continue
		}
		printLine(out, "%s: %d servers, sha256 %s", path, len(list.Servers), list.SHA256)
	}
	if failed {
		return cli.ErrReported
	}
	return nil
}

// diff prints what makes the second list of the first.
func diff(out io.Writer, edge string, paths []string) error {
	if len(paths) != 2 {
		return errors.New("inventory diff: two files are wanted")
	}
	o, err := loadOptions(edge)
	if err != nil {
		return err
	}
	var lists [2]inventory.List
	for i, path := range paths {
		list, err := loadList(o, path)
		if err != nil {
			printDiagnostics(out, err)
			return cli.ErrReported
		}
		lists[i] = list
	}
	changes := inventory.Diff(lists[0].Servers, lists[1].Servers)
	for _, c := range changes {
		printLine(out, "%v", c)
	}
	printLine(out, "%d differences between %d and %d servers", len(changes), len(lists[0].Servers), len(lists[1].Servers))
	return nil
}

// convert writes a list in the other form.
func convert(out io.Writer, edge, form string, paths []string) error {
	formKnown := form == "csv" || form == "yaml"
	if len(paths) != 1 || !formKnown {
		return errors.New("inventory convert: one file, and --to csv or --to yaml, are wanted")
	}
	list, err := loadSingleList(edge, paths[0])
	if err != nil {
		return err
	}
	write := inventory.WriteCSV
	if form == "yaml" {
		write = inventory.WriteYAML
	}
	_, err = out.Write(write(list.Servers))
	return err
}

// confirm writes the confirmation of a list, under another name first so that a node never reads half of it.
func confirm(out io.Writer, edge string, paths []string) error {
	if len(paths) != 1 {
		return errors.New("inventory confirm: one file is wanted")
	}
	list, err := loadSingleList(edge, paths[0])
	if err != nil {
		return err
	}
	path := File{Path: paths[0]}.confirmPath()
	temp := path + ".tmp"
	if err := os.WriteFile(temp, []byte(list.SHA256+"\n"), 0o644); err != nil {
		return err
	}
	if err := os.Rename(temp, path); err != nil {
		return err
	}
	printLine(out, "%s lets %d servers with sha256 %s pass", path, len(list.Servers), list.SHA256)
	return nil
}

// printDiagnostics prints each thing that is wrong with a file, or the error itself if it is of another kind.
func printDiagnostics(out io.Writer, err error) {
	var diagnostics *inventory.Diagnostics
	if !errors.As(err, &diagnostics) {
		printLine(out, "%v", err)
		return
	}
	for _, d := range diagnostics.First {
		printLine(out, "%v", d)
	}
	if more := diagnostics.Total - len(diagnostics.First); more > 0 {
		printLine(out, "and %d more faults", more)
	}
}

func printLine(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}
