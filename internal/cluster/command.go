package cluster

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"tackhub.example/tackhub/internal/cli"
)

// watchInterval is how often --watch asks: a view takes a few hundred milliseconds to change.
const watchInterval = 500 * time.Millisecond

var (
	errNoTempDir   = errors.New("$TMPDIR is not set: the node's local socket lies there")
	errOverloadOff = errors.New("overload is off in [cluster]")
)

// MembersCommand returns `tackhub members`.
func MembersCommand() cli.Command {
	var name string
	var asJSON, watch bool
	return cli.Command{
		Name: "members",
		Help: "Show what a running node holds of its cluster, over its local socket in $TMPDIR",
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&name, "name", "", "the `MEMBER`, where several run with this $TMPDIR")
			f.BoolVar(&asJSON, "json", false, "as JSON")
			f.BoolVar(&watch, "watch", false, "again whenever the view or a state changes, until it is ended")
		},
		Run: func(_ []string, out io.Writer) error {
			path, err := findSocket(name)
			switch {
			case err != nil:
				return err
			case watch:
				return watchMembers(out, path, asJSON)
			}
			status, raw, err := QueryStatus(path)
			if err != nil {
				return err
			}
			return printMembers(out, status, raw, asJSON)
		},
	}
}

// OverloadCommand returns `tackhub overload`.
func OverloadCommand() cli.Command {
	var name string
	var asJSON bool
	return cli.Command{
		Name: "overload",
		Help: "Show what a running node knows of the whole fleet's load, and what the fleet lets in",
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&name, "name", "", "the `MEMBER`, where several run with this $TMPDIR")
			f.BoolVar(&asJSON, "json", false, "as JSON")
		},
		Run: func(_ []string, out io.Writer) error {
			path, err := findSocket(name)
			if err != nil {
				return err
			}
			status, _, err := QueryStatus(path)
			switch {
			case err != nil:
				return err
			case status.Overload == nil:
				return errOverloadOff
			case asJSON:
				return json.NewEncoder(out).Encode(status.Overload)
			}
			_, err = io.WriteString(out, overloadTable(status.Overload))
			return err
		},
	}
}

// findSocket returns the local socket of a member; without a name that of the only one that runs.
func findSocket(name string) (string, error) {
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		return "", errNoTempDir
	}
	if name != "" {
		return SocketPath(dir, name), nil
	}
	found, err := filepath.Glob(SocketPath(dir, "*"))
	switch {
	case err != nil:
		return "", err
	case len(found) == 0:
		return "", fmt.Errorf("no member runs with $TMPDIR %s: is [cluster] on?", dir)
	case len(found) > 1:
		return "", fmt.Errorf("%d members run with $TMPDIR %s: name one by --name", len(found), dir)
	}
	return found[0], nil
}

// watchMembers prints the status whenever it has changed, until the process does not answer any more.
func watchMembers(out io.Writer, path string, asJSON bool) error {
	printed := ""
	for {
		status, raw, err := QueryStatus(path)
		if err != nil {
			return err
		}
		if fingerprint := statusFingerprint(status); fingerprint != printed {
			printed = fingerprint
			if err := printMembers(out, status, raw, asJSON); err != nil {
				return err
			}
		}
		time.Sleep(watchInterval)
	}
}

func printMembers(out io.Writer, status Status, raw []byte, asJSON bool) error {
	text := string(raw)
	if !asJSON {
		text = membersTable(status)
	}
	_, err := io.WriteString(out, text)
	return err
}
