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

// commandFlags holds the flag values of the subcommands.
type commandFlags struct {
	operatorPath string // path of the operator file; empty: defaults
	format       string // output format of convert: csv or yaml
	stateDir     string
	asJSON       bool
}

func (c *commandFlags) declareOperatorFile(f *flag.FlagSet) {
	f.StringVar(&c.operatorPath, "edge", os.Getenv("TACKHUB_EDGE"), "operator `FILE` that configures how list files are read")
}

func (c *commandFlags) declareConvert(f *flag.FlagSet) {
	c.declareOperatorFile(f)
	f.StringVar(&c.format, "to", "csv", "output `FORM`: csv or yaml")
}

func (c *commandFlags) declareShow(f *flag.FlagSet) {
	c.declareOperatorFile(f)
	f.StringVar(&c.stateDir, "state", "", "state `FOLDER` of a node; default: state_dir of the operator file; without either, the list files are merged")
	f.BoolVar(&c.asJSON, "json", false, "print JSON")
}

// Command returns the command "tackhub inventory" with its subcommands.
func Command() cli.Command {
	var flags commandFlags
	return cli.Command{Name: "inventory", Help: "Inspect server lists: lint, diff, convert, show, confirm", Subcommands: []cli.Command{
		{
			Name:      "lint",
			ArgsUsage: "FILE…",
			Help:      "Report the errors in CSV or YAML lists; for a valid list print its size and SHA-256",
			Flags:     flags.declareOperatorFile,
			Run:       func(args []string, out io.Writer) error { return lint(out, flags.operatorPath, args) },
		},
		{
			Name:      "diff",
			ArgsUsage: "A B",
			Help:      "Print the changes from list A to list B",
			Flags:     flags.declareOperatorFile,
			Run:       func(args []string, out io.Writer) error { return diff(out, flags.operatorPath, args) },
		},
		{
			Name:      "convert",
			ArgsUsage: "FILE",
			Help:      "Convert a list to CSV or YAML and write it to standard output, with a trailer",
			Flags:     flags.declareConvert,
			Run:       func(args []string, out io.Writer) error { return convert(out, flags.operatorPath, flags.format, args) },
		},
		{
			Name:  "show",
			Help:  "Show the list that a node has saved, or would merge from its files, with the source of each field",
			Flags: flags.declareShow,
			Run: func(_ []string, out io.Writer) error {
				return show(out, flags.operatorPath, flags.stateDir, flags.asJSON)
			},
		},
		{
			Name:      "confirm",
			ArgsUsage: "FILE",
			Help:      "Confirm a list that is held because it removes too many servers: writes its SHA-256 to FILE.confirm",
			Flags:     flags.declareOperatorFile,
			Run:       func(args []string, out io.Writer) error { return confirm(out, flags.operatorPath, args) },
		},
	}}
}

// loadOptions reads the section [inventory] of an operator file. It returns the defaults if no file is given or the file has
// no such section.
func loadOptions(operatorPath string) (*Options, error) {
	if operatorPath == "" {
		return defaults(), nil
	}
	raw, err := os.ReadFile(operatorPath)
	if err != nil {
		return nil, err
	}
	file, err := operator.ParseSection(operatorPath, string(raw), Subsystem().Section)
	if err != nil {
		return nil, err
	}
	if o, ok := file.Options("inventory").(*Options); ok {
		return o, nil
	}
	return defaults(), nil
}

// fileOptions returns the options for reading the file at a path: the configured ones, or the zero options if the path is not
// configured.
func (o *Options) fileOptions(path string) *File {
	for i := range o.Files {
		if o.Files[i].Path == path {
			return &o.Files[i]
		}
	}
	return &File{Path: path}
}

// loadList reads one list with the file options configured for its path.
func loadList(o *Options, path string) (inventory.List, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return inventory.List{}, err
	}
	return parseFile(o.fileOptions(path), raw)
}

// loadSingleList reads an operator file, and one list with its options.
func loadSingleList(operatorPath, path string) (inventory.List, error) {
	o, err := loadOptions(operatorPath)
	if err != nil {
		return inventory.List{}, err
	}
	return loadList(o, path)
}

// lint prints the errors in each list. For a list without errors it prints the number of servers and the SHA-256.
func lint(out io.Writer, operatorPath string, paths []string) error {
	if len(paths) == 0 {
		return errors.New("inventory lint: expected at least one file")
	}
	o, err := loadOptions(operatorPath)
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

// diff prints the changes from the first list to the second.
func diff(out io.Writer, operatorPath string, paths []string) error {
	if len(paths) != 2 {
		return fmt.Errorf("inventory diff: expected two files, got %d", len(paths))
	}
	o, err := loadOptions(operatorPath)
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

// convert writes a list as CSV or YAML.
func convert(out io.Writer, operatorPath, format string, paths []string) error {
	formatKnown := format == "csv" || format == "yaml"
	if len(paths) != 1 || !formatKnown {
		return fmt.Errorf("inventory convert: expected one file and --to csv or --to yaml, got %d files and --to %s", len(paths), format)
	}
	list, err := loadSingleList(operatorPath, paths[0])
	if err != nil {
		return err
	}
	write := inventory.WriteCSV
	if format == "yaml" {
		write = inventory.WriteYAML
	}
	_, err = out.Write(write(list.Servers))
	return err
}

// confirm writes the confirmation file of a list. It writes a temporary file and renames it, so that a node never reads a
// partial confirmation.
func confirm(out io.Writer, operatorPath string, paths []string) error {
	if len(paths) != 1 {
		return fmt.Errorf("inventory confirm: expected one file, got %d", len(paths))
	}
	list, err := loadSingleList(operatorPath, paths[0])
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
	printLine(out, "%s confirms the list of %d servers with sha256 %s", path, len(list.Servers), list.SHA256)
	return nil
}

// printDiagnostics prints the diagnostics of a file, or the error itself if it is not a *inventory.Diagnostics.
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
		printLine(out, "and %d more errors", more)
	}
}

func printLine(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}
