package cli

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"testing"
)

// testProgram returns a program whose commands write their name and arguments to ran.
func testProgram(ran *string) Program {
	file := ""
	return Program{Name: "prog", Default: "serve", Footer: []string{"More."}, Commands: []Command{
		{Name: "serve", Help: "Serve.", Flags: func(f *flag.FlagSet) { f.StringVar(&file, "edge", "", "the `FILE`") },
			Run: func([]string, io.Writer) error { *ran = "serve " + file; return nil }},
		{Name: "check", Help: "Check.", Run: func(_ []string, out io.Writer) error {
			_, _ = fmt.Fprintln(out, "bad line")
			return ErrReported
		}},
		{Name: "list", Help: "Lists.", Subcommands: []Command{{Name: "lint", ArgsUsage: "FILE…", Help: "Lint.", Run: func(args []string, _ io.Writer) error {
			*ran = "lint " + strings.Join(args, "+")
			return nil
		}}}},
		{Name: "show", ArgsUsage: "ID…", Help: "Show.", Run: func(args []string, _ io.Writer) error {
			*ran = "show " + strings.Join(args, "+")
			return errors.New("no such thing")
		}},
	}}
}

func TestRunExitCodeAndOutput(t *testing.T) {
	for _, c := range []struct {
		args      string
		code      int
		ran       string
		out, errs string
	}{
		{"", ExitOK, "serve ", "", ""},
		{"--edge x.toml", ExitOK, "serve x.toml", "", ""},
		{"serve --edge=y", ExitOK, "serve y", "", ""},
		{"serve extra", ExitUsage, "", "", `unexpected argument "extra"`},
		{"--egde x", ExitUsage, "", "", "egde"},
		{"nothing", ExitUsage, "", "", `unknown command "nothing"`},
		{"check", ExitFailed, "", "bad line", ""},
		{"show a b", ExitFailed, "show a+b", "", "prog: no such thing"},
		{"list lint a", ExitOK, "lint a", "", ""},
		{"list", ExitUsage, "", "", "lint         Lint."},
		{"list --help", ExitOK, "", "Usage: prog list", ""},
		{"list none", ExitUsage, "", "", `prog list: unknown command "none"`},
		{"--help", ExitOK, "", "check        Check.", ""},
		{"serve --help", ExitOK, "", "--edge FILE", ""},
		{"show -h", ExitOK, "", "Usage: prog show [FLAGS] ID…", ""},
	} {
		ran, out, errs := "", strings.Builder{}, strings.Builder{}
		code := testProgram(&ran).Run(strings.Fields(c.args), &out, &errs)
		if code != c.code || ran != c.ran {
			t.Errorf("%q: exit code = %d, ran %q, want %d, %q", c.args, code, ran, c.code, c.ran)
		}
		if !strings.Contains(out.String(), c.out) || !strings.Contains(errs.String(), c.errs) || (c.errs == "") != (errs.Len() == 0) {
			t.Errorf("%q: output = %q, error output = %q, want them to contain %q and %q", c.args, &out, &errs, c.out, c.errs)
		}
	}
}
