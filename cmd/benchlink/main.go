// Command benchlink puts the decision module on the simulator's wire: batches on standard input, replies
// on standard output, plain messages on standard error.
package main

import (
	"fmt"
	"os"

	"tackhub.example/tackhub/internal/simwire"
)

func main() {
	if err := simwire.NewHost(os.Stderr).Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "benchlink: %v\n", err)
		os.Exit(1)
	}
}
