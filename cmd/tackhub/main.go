// Command tackhub is one node of a load balancer for HTTP and CoAP. Without arguments it serves.
//
// Exit codes: 0 after a planned end or a check without a fault, 1 where a start or the serving failed or a check found
// faults, 2 where the command line cannot be read.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"tackhub.example/tackhub/internal/cli"
	"tackhub.example/tackhub/internal/cluster"
	coapclient "tackhub.example/tackhub/internal/coap/client"
	"tackhub.example/tackhub/internal/endpoints"
	"tackhub.example/tackhub/internal/node"
)

// edgeVariable is the environment variable that names the operator file where no flag does.
const edgeVariable = "TACKHUB_EDGE"

func main() { os.Exit(commands().Run(os.Args[1:], os.Stdout, os.Stderr)) }

func commands() cli.Program {
	var edge string
	withEdge := func(f *flag.FlagSet) {
		f.StringVar(&edge, "edge", os.Getenv(edgeVariable),
			"operator `FILE`; without it ("+edgeVariable+" names it too) all subsystems are off")
	}
	return cli.Program{Name: "tackhub", Default: "serve", Commands: []cli.Command{
		{Name: "serve", Help: "Serve as one node, told by ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and ROUTER_CONFIG", Flags: withEdge,
			Run: func([]string, io.Writer) error { return node.Serve(edge) }},
		{Name: "check", Help: "Read configuration and operator file as a start would; print what would run, or every fault", Flags: withEdge,
			Run: func(_ []string, out io.Writer) error {
				if !node.Check(out, os.Getenv, edge) {
					return cli.ErrReported
				}
				return nil
			}},
		endpoints.Command(),
		cluster.MembersCommand(),
		cluster.OverloadCommand(),
		coapclient.Command(),
		{Name: "version", Help: "Print the build", Run: func(_ []string, out io.Writer) error { return version(out) }},
	}, Footer: []string{
		"",
		"Signals while it serves: SIGTERM or SIGINT drains and ends it (further ones change nothing), SIGHUP reads its files again,",
		"SIGUSR1 writes the counters and the servers' health to the log.",
		"Exit codes: 0 planned end or a good check, 1 failed or faults found, 2 the command line cannot be read.",
	}}
}

// version prints what the Go tool chain recorded of the build.
func version(out io.Writer) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("this build holds no information about itself")
	}
	about := map[string]string{}
	for _, s := range info.Settings {
		about[s.Key] = s.Value
	}
	revision := about["vcs.revision"]
	if revision == "" {
		revision = "no revision"
	}
	if about["vcs.modified"] == "true" {
		revision += " with changes"
	}
	_, err := fmt.Fprintf(out, "tackhub %s, %s, %s/%s\n", revision, info.GoVersion, about["GOOS"], about["GOARCH"])
	return err
}
