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

// watchInterval is the interval between two queries of --watch. A change of the view takes a few hundred milliseconds.
const watchInterval = 500 * time.Millisecond

var (
	errNoTempDir   = errors.New("$TMPDIR is not set: it must name the directory of the node's local socket")
	errOverloadOff = errors.New("overload control is off: overload is not set in [cluster]")
)

// MembersCommand returns the command `tackhub members`.
func MembersCommand() cli.Command {
	var name string
	var asJSON, watch bool
	return cli.Command{
		Name: "members",
		Help: "Show the cluster members known to a running node, read from its local socket in $TMPDIR",
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&name, "name", "", "the `MEMBER` to query, if several run with this $TMPDIR")
			f.BoolVar(&asJSON, "json", false, "print JSON")
			f.BoolVar(&watch, "watch", false, "print again whenever the view or a state changes, until interrupted")
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

// OverloadCommand returns the command `tackhub overload`.
func OverloadCommand() cli.Command {
	var name string
	var asJSON bool
	return cli.Command{
		Name: "overload",
		Help: "Show the load of the whole fleet and the admitted fractions, as known to a running node",
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&name, "name", "", "the `MEMBER` to query, if several run with this $TMPDIR")
			f.BoolVar(&asJSON, "json", false, "print JSON")
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

// findSocket returns the path of a member's local socket. Without a name it returns the only socket in $TMPDIR.
func findSocket(name string) (string, error) {
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		return "", errNoTempDir
	}
	if name != "" {
		return SocketPath(dir, name), nil
	}
	paths, err := filepath.Glob(SocketPath(dir, "*"))
	switch {
	case err != nil:
		return "", err
	case len(paths) == 0:
		return "", fmt.Errorf("no member's socket found in $TMPDIR %s: is [cluster] configured?", dir)
	case len(paths) > 1:
		return "", fmt.Errorf("%d members run with $TMPDIR %s: select one with --name", len(paths), dir)
	}
	return paths[0], nil
}

// watchMembers prints the status whenever it has changed. It returns an error as soon as a query fails.
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
