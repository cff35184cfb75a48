// Command bench-adapter connects the balancer to the simulator. It reads batches of events from standard input and writes replies to
// standard output and error messages to standard error.
package main

import (
	"fmt"
	"os"

	"tackhub.example/tackhub/internal/simadapter"
)

func main() {
	if err := simadapter.NewInstances(os.Stderr).Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "bench-adapter: %v\n", err)
		os.Exit(1)
	}
}
