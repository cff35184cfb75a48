package operator

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a duration that is written with its unit, such as "250ms". A bare number is an error, since its unit would have
// to be guessed.
type Duration time.Duration

// UnmarshalTOML reads the text.
func (d *Duration) UnmarshalTOML(v any) error {
	text, ok := v.(string)
	if !ok {
		return fmt.Errorf("a span with its unit is wanted, such as \"250ms\", not %v", v)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is no span with its unit, such as \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// Std is the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String is the duration as text.
func (d Duration) String() string { return time.Duration(d).String() }

// Bytes is a size that is written with its unit: B, KiB, MiB or GiB.
type Bytes int64

// maxBytes bounds a size, far above any that a machine has.
const maxBytes = 1 << 50

// byteUnit is a unit of sizes.
type byteUnit struct {
	name string
	size int64
}

// byteUnits are the units, B last since the names of the others end with it.
var byteUnits = []byteUnit{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// UnmarshalTOML reads the text.
func (b *Bytes) UnmarshalTOML(v any) error {
	text, _ := v.(string)
	size, ok := parseBytes(text)
	if !ok {
		return fmt.Errorf("a size with its unit is wanted, such as \"64KiB\" or \"1.5MiB\", not %v", v)
	}
	*b = size
	return nil
}

// parseBytes reads a number with its unit; false if it is none.
func parseBytes(text string) (Bytes, bool) {
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(text, unit.name)
		if !found {
			continue
		}
		number, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		size := number * float64(unit.size)
		inRange := number >= 0 && size <= maxBytes // false for NaN as well
		if err != nil || !inRange {
			return 0, false
		}
		return Bytes(size), true
	}
	return 0, false
}

// String is the size in the largest unit of which it has at least one.
func (b Bytes) String() string {
	for _, unit := range []byteUnit{byteUnits[2], byteUnits[1], byteUnits[0]} {
		if int64(b) >= unit.size {
			return strconv.FormatFloat(float64(b)/float64(unit.size), 'f', -1, 64) + unit.name
		}
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}
