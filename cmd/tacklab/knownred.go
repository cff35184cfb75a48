package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"tackhub.example/tackhub/lab/knownred"
)

// knownRedCmd runs the tests and soak runs of CI. Only those that the list of known failures contains may fail.
type knownRedCmd struct {
	List string `default:"KNOWN-RED.txt" help:"The list; without the file nothing may fail."`

	Check knownRedCheckCmd `cmd:"" help:"Read the list and look whether its tests exist."`
	Test  knownRedTestCmd  `cmd:"" help:"Run all tests; those that are listed run by themselves, and their results are told."`
	Runs  knownRedRunsCmd  `cmd:"" help:"Play the seeded runs that are listed, and tell their results."`
	Run   knownRedRunCmd   `cmd:"" help:"Run a command, which may fail if it is a listed run."`
}

type knownRedCheckCmd struct{}

type knownRedTestCmd struct{}

type knownRedRunsCmd struct{}

type knownRedRunCmd struct {
	Command []string `arg:"" passthrough:"" help:"The command with its arguments."`
}

// runner returns a runner with the entries of the list. If the file does not exist, the list is empty.
func (c *knownRedCmd) runner() (*knownred.Runner, error) {
	text, err := os.ReadFile(c.List)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	entries, err := knownred.Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.List, err)
	}
	return &knownred.Runner{Entries: entries, Out: os.Stdout}, nil
}

// Run checks that the list is valid and that its tests exist.
func (c *knownRedCheckCmd) Run() error {
	r, err := cli.KnownRed.runner()
	if err != nil {
		return err
	}
	return r.Check()
}

// Run runs all tests. The listed tests run separately from the others and may fail.
func (c *knownRedTestCmd) Run() error {
	r, err := cli.KnownRed.runner()
	if err != nil {
		return err
	}
	return r.Test()
}

// Run runs the listed soak runs, which may fail.
func (c *knownRedRunsCmd) Run() error {
	r, err := cli.KnownRed.runner()
	if err != nil {
		return err
	}
	r.RunListed()
	return nil
}

// Run runs the command, which may fail if it is a listed run.
func (c *knownRedRunCmd) Run() error {
	r, err := cli.KnownRed.runner()
	if err != nil {
		return err
	}
	if c.Command[0] == "--" { // kong passes the separator through
		c.Command = c.Command[1:]
	}
	if len(c.Command) == 0 {
		return errors.New("known-red run: a command is required")
	}
	return r.Run(c.Command)
}
