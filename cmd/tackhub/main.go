// Command tackhub runs one node of a load balancer for HTTP and CoAP. Without arguments it runs the command serve.
//
// Exit codes: 0 after a graceful shutdown or a check that found no errors, 1 if the node failed to start or to serve or
// a check found errors, 2 if the command line is invalid.
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

// operatorFileVariable is the environment variable with the path of the operator file; the flag --edge overrides it.
const operatorFileVariable = "TACKHUB_EDGE"

func main() { os.Exit(commands().Run(os.Args[1:], os.Stdout, os.Stderr)) }

func commands() cli.Program {
	var operatorFile string
	operatorFileFlag := func(f *flag.FlagSet) {
		f.StringVar(&operatorFile, "edge", os.Getenv(operatorFileVariable),
			"operator `FILE` (default: the value of "+operatorFileVariable+"); without a file all subsystems are off")
	}
	return cli.Program{Name: "tackhub", Default: "serve", Commands: []cli.Command{
		{Name: "serve", Help: "Serve as one node, configured by ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and ROUTER_CONFIG", Flags: operatorFileFlag,
			Run: func([]string, io.Writer) error { return node.Serve(operatorFile) }},
		{Name: "check", Help: "Read the configuration and the operator file as serve does; print what would run, or every error", Flags: operatorFileFlag,
			Run: func(_ []string, out io.Writer) error {
				if !node.Check(out, os.Getenv, operatorFile) {
					return cli.ErrReported
				}
				return nil
			}},
		endpoints.Command(),
		cluster.MembersCommand(),
		cluster.OverloadCommand(),
		coapclient.Command(),
		{Name: "version", Help: "Print revision, Go version and platform", Run: func(_ []string, out io.Writer) error { return version(out) }},
	}, Footer: []string{
		"",
		"Signals: SIGTERM or SIGINT starts a graceful shutdown (repeated ones are ignored), SIGHUP reloads configuration and operator file,",
		"SIGUSR1 writes the counters and the health of the servers to the log.",
		"Exit codes: 0 graceful shutdown or no errors found, 1 failure or errors found, 2 invalid command line.",
	}}
}

// version prints the build information that the Go toolchain recorded in the binary.
func version(out io.Writer) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the binary has no Go build information")
	}
	buildSettings := map[string]string{}
	for _, setting := range info.Settings {
		buildSettings[setting.Key] = setting.Value
	}
	revision := buildSettings["vcs.revision"]
	if revision == "" {
		revision = "no revision"
	}
	if buildSettings["vcs.modified"] == "true" {
		revision += " with changes"
	}
	_, err := fmt.Fprintf(out, "tackhub %s, %s, %s/%s\n", revision, info.GoVersion, buildSettings["GOOS"], buildSettings["GOARCH"])
	return err
}
