// Package cli parses command lines of the form "program command flags arguments" and prints their help. It is a thin layer on
// the standard library's flag package, because command-line libraries that look up methods by name keep the linker from removing
// unused code; docs/operating/command-line.md compares the binary sizes.
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
	ArgsUsage   string                                   // the arguments in the usage line; if empty, arguments are rejected
	Help        string                                   // one-line description
	Subcommands []Command                                // if not nil, Flags and Run are not used
	Flags       func(*flag.FlagSet)                      // declares the flags; may be nil
	Run         func(args []string, out io.Writer) error // returns ErrReported if it has already printed the error
}

// Program is a command-line program with one or more commands.
type Program struct {
	Name     string
	Footer   []string // lines printed below the list of commands
	Commands []Command
	Default  string // command to run if the first argument is missing or a flag; if empty, a command is required
}

// ErrReported is returned by a command that has already printed its errors. Program.Run prints nothing further.
var ErrReported = errors.New("the command reported errors in its output")

// Exit codes of Program.Run.
const (
	ExitOK     = 0
	ExitFailed = 1 // the command returned an error
	ExitUsage  = 2 // the command line is invalid
)

// helpArgs are the values of the first argument that print the help.
var helpArgs = []string{"help", "--help", "-help", "-h"}

// Run parses the arguments, runs one command and returns the exit code.
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
		_, _ = fmt.Fprintf(errOut, "%s: unknown command %q; see %s --help\n", p.Name, name, p.Name)
		return ExitUsage
	}
}

// subprogram returns a Program that runs the subcommands of a command.
func (p Program) subprogram(c Command) Program {
	return Program{Name: p.Name + " " + c.Name, Footer: []string{c.Help}, Commands: c.Subcommands}
}

// runCommand parses the flags of a command, runs it and returns the exit code.
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
		_, _ = fmt.Fprintf(errOut, "%s %s: unexpected argument %q; see %s %s --help\n", p.Name, c.Name, flags.Arg(0), p.Name, c.Name)
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
		suffix := ""
		if c.Name == p.Default {
			suffix = " (the default)"
		}
		_, _ = fmt.Fprintf(out, "  %-12s %s%s\n", c.Name, c.Help, suffix)
	}
	_, _ = fmt.Fprintf(out, "\nRun %s COMMAND --help for the flags of a command.\n", p.Name)
	for _, line := range p.Footer {
		_, _ = fmt.Fprintln(out, line)
	}
}

// printHelp prints the usage of one command.
func (p Program) printHelp(out io.Writer, c Command, flags *flag.FlagSet) {
	usage := strings.Fields(p.Name + " " + c.Name + " [FLAGS] " + c.ArgsUsage)
	_, _ = fmt.Fprintf(out, "Usage: %s\n\n%s\n", strings.Join(usage, " "), c.Help)
	isFirst := true
	flags.VisitAll(func(f *flag.Flag) {
		if isFirst {
			_, _ = fmt.Fprintln(out, "\nFlags:")
			isFirst = false
		}
		value, usage := flag.UnquoteUsage(f)
		_, _ = fmt.Fprintf(out, "  --%-22s %s\n", strings.TrimSpace(f.Name+" "+value), usage)
	})
}
