// Package cli reads the node's command line: a command, its flags, its help. It stands on the standard library's flag. kong,
// which tacklab uses, was tried first and costs the serving node 3.0 MB of resident memory and 7.2 MB of program, since
// its look-ups of methods by name keep the linker from leaving anything out; docs/operating/command-line.md has the figures.
package cli

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
)

// Command is one subcommand.
type Command struct {
	Name        string
	ArgsUsage   string    // what follows the flags, for the usage line
	Help        string    // one line
	Subcommands []Command // commands below it; then it has neither flags nor a Run of its own
	Flags       func(*flag.FlagSet)
	// Run does the work; ErrFaults says that what was wrong has been printed.
	Run func(args []string, out io.Writer) error
}

// Program is the whole command line.
type Program struct {
	Name     string
	Footer   []string // lines below the commands
	Commands []Command
	Default  string // the command where the first argument is none
}

// ErrFaults ends a command whose output already says what is wrong.
var ErrReported = errors.New("faults were found")

// The exit codes.
const (
	ExitOK = iota
	ExitFailed
	ExitUsage
)

// Run reads the arguments and runs one command; it gives the exit code.
func (p Program) Run(args []string, out, errs io.Writer) int {
	name, rest := p.Default, args
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		name, rest = args[0], args[1:]
	}
	if len(args) > 0 && (args[0] == "help" || args[0] == "--help" || args[0] == "-help" || args[0] == "-h") {
		p.usage(out)
		return ExitOK
	}
	for _, c := range p.Commands {
		if c.Name == name && c.Subcommands != nil {
			return Program{Name: p.Name + " " + c.Name, Footer: []string{c.Help}, Commands: c.Subcommands}.Run(rest, out, errs)
		}
		if c.Name == name {
			return p.run(c, rest, out, errs)
		}
	}
	if name == "" {
		p.usage(errs)
		return ExitUsage
	}
	_, _ = fmt.Fprintf(errs, "%s: there is no command %q; see %s --help\n", p.Name, name, p.Name)
	return ExitUsage
}

func (p Program) run(c Command, args []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	if c.Flags != nil {
		c.Flags(flags)
	}
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		p.help(out, c, flags)
		return ExitOK
	case err != nil:
		_, _ = fmt.Fprintf(errs, "%s %s: %v; see %s %s --help\n", p.Name, c.Name, err, p.Name, c.Name)
		return ExitUsage
	case flags.NArg() > 0 && c.ArgsUsage == "":
		_, _ = fmt.Fprintf(errs, "%s %s: %q is too much; see %s %s --help\n", p.Name, c.Name, flags.Arg(0), p.Name, c.Name)
		return ExitUsage
	}
	switch err := c.Run(flags.Args(), out); {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrReported):
		return ExitFailed
	default:
		_, _ = fmt.Fprintf(errs, "%s: %v\n", p.Name, err)
		return ExitFailed
	}
}

// usage prints all commands.
func (p Program) usage(out io.Writer) {
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

// help prints one command.
func (p Program) help(out io.Writer, c Command, flags *flag.FlagSet) {
	_, _ = fmt.Fprintf(out, "Usage: %s\n\n%s\n", strings.Join(strings.Fields(p.Name+" "+c.Name+" [FLAGS] "+c.ArgsUsage), " "), c.Help)
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
