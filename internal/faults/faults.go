// Package faults makes system calls of a node fail for the lab's soak. Only a build with the tag faultinject does so; in every
// other one it does nothing. It stands at the edge of the program because Go makes its system calls without the C library,
// so that a preloaded library would not be asked.
package faults

// Variable names the environment variable with the seed of the faults; a node that does not have it meets none.
const Variable = "TACKHUB_FAULTS"
