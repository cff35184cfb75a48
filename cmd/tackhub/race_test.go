//go:build race

package main

// raceEnabled reports whether the tests run with the race detector. If so, the node is built with it too.
const raceEnabled = true
