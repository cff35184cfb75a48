//go:build !race

package main

// raceEnabled reports whether the tests run with the race detector.
const raceEnabled = false
