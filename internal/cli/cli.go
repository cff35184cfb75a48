// Package cli reads a command line: a command, its flags, and its help. It is a thin layer on the standard library's flag,
// since libraries that look up methods by name keep the linker from removing unused code;
// docs/operating/command-line.md compares the size.
package cli

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Command is one command of a Program.
type Command struct {
	Name        string
	ArgsUsage   string                                   // what follows the flags, for the usage line; empty: no arguments are allowed
	Help        string                                   // one line
	Subcommands []Command                                // if there are any, the command has neither flags nor a Run of its own
	Flags       func(*flag.FlagSet)                      // declares the flags; may be nil
	Run         func(args []string, out io.Writer) error // ErrReported: what is wrong has been printed
}

// Program is a whole command line.
type Program struct {
	Name     string
	Footer   []string // lines below the list of commands
	Commands []Command
	Default  string // the command where the first argument is none; empty: there has to be one
}

// ErrReported is a command's error if its output already says what is wrong.
var ErrReported = errors.New("faults were found")

// The exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1 // the command returned an error
	ExitUsage  = 2 // the command line is wrong
)

// helpArgs are the first arguments that ask for help.
var helpArgs = []string{"help", "--help", "-help", "-h"}

// Run reads the arguments, runs one command and returns the exit code.
func (p Program) Run(args []string, out, errOut io.Writer) int {
	if len(args) > 0 && slices.Contains(helpArgs, args[0]) {
		p.printUsage(out)
		return ExitOK
	}
	name, rest := p.Default, args
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		name, rest = args[0], args[1:]
	}
	i := slices.IndexFunc(p.Commands, func(c Command) bool { return c.Name == name })
	switch {
	case i >= 0 && p.Commands[i].Subcommands != nil:
		return p.subprogram(p.Commands[i]).Run(rest, out, errOut)
	case i >= 0:
		return p.runCommand(p.Commands[i], rest, out, errOut)
	case name == "":
		p.printUsage(errOut)
		return ExitUsage
	default:
		_, _ = fmt.Fprintf(errOut, "%s: there is no command %q; see %s --help\n", p.Name, name, p.Name)
		return ExitUsage
	}
}

// subprogram is a command with subcommands as a program of its own.
func (p Program) subprogram(c Command) Program {
	return Program{Name: p.Name + " " + c.Name, Footer: []string{c.Help}, Commands: c.Subcommands}
}

// runCommand parses a command's flags and runs it.
func (p Program) runCommand(c Command, args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	flags.SetOutput(io.Discard) // errors are printed below
	if c.Flags != nil {
		c.Flags(flags)
	}
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		p.printHelp(out, c, flags)
		return ExitOK
	case err != nil:
		_, _ = fmt.Fprintf(errOut, "%s %s: %v; see %s %s --help\n", p.Name, c.Name, err, p.Name, c.Name)
		return ExitUsage
	case flags.NArg() > 0 && c.ArgsUsage == "":
		_, _ = fmt.Fprintf(errOut, "%s %s: %q is too much; see %s %s --help\n", p.Name, c.Name, flags.Arg(0), p.Name, c.Name)
		return ExitUsage
	}
	switch err := c.Run(flags.Args(), out); {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrReported):
		return ExitFailed
	default:
		_, _ = fmt.Fprintf(errOut, "%s: %v\n", p.Name, err)
		return ExitFailed
	}
}

// printUsage prints the list of commands.
func (p Program) printUsage(out io.Writer) {
	_, _ = fmt.Fprintf(out, "Usage: %s [COMMAND] [FLAGS]\n\n", p.Name)
	for _, c := range p.Commands {
		note := ""
		if c.Name == p.Default {
			note = " (the default)"
		}
		_, _ = fmt.Fprintf(out, "  %-12s %s%s\n", c.Name, c.Help, note)
	}
	_, _ = fmt.Fprintf(out, "\n%s COMMAND --help tells a command's flags.\n", p.Name)
	for _, line := range p.Footer {
		_, _ = fmt.Fprintln(out, line)
	}
}

// printHelp prints the usage of one command.
func (p Program) printHelp(out io.Writer, c Command, flags *flag.FlagSet) {
	usage := strings.Fields(p.Name + " " + c.Name + " [FLAGS] " + c.ArgsUsage)
	_, _ = fmt.Fprintf(out, "Usage: %s\n\n%s\n", strings.Join(usage, " "), c.Help)
	first := true
	flags.VisitAll(func(f *flag.Flag) {
		if first {
			_, _ = fmt.Fprintln(out, "\nFlags:")
			first = false
		}
		value, usage := flag.UnquoteUsage(f)
		_, _ = fmt.Fprintf(out, "  --%-22s %s\n", strings.TrimSpace(f.Name+" "+value), usage)
	})
}
