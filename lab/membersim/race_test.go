//go:build race

package membersim

const raceEnabled = true
