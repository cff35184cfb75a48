package operator

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a duration that is written with its unit, such as "250ms". A bare number is rejected because its unit would be
// ambiguous.
type Duration time.Duration

// UnmarshalTOML parses a TOML string such as "250ms".
func (d *Duration) UnmarshalTOML(v any) error {
	text, ok := v.(string)
	if !ok {
		return fmt.Errorf("must be a duration with its unit, such as \"250ms\", not %v", v)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration with its unit, such as \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// Std converts the duration to a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// Bytes is a size in bytes. It is written with a unit: B, KiB, MiB or GiB.
type Bytes int64

// maxBytes is the largest accepted size: 1 PiB, far above the memory of any machine.
const maxBytes = 1 << 50

// byteUnit is the suffix of a unit and its size in bytes.
type byteUnit struct {
	name string
	size int64
}

// byteUnits lists the units. B is last because the other suffixes end with it.
var byteUnits = []byteUnit{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// UnmarshalTOML parses a TOML string such as "64KiB".
func (b *Bytes) UnmarshalTOML(v any) error {
	text, _ := v.(string)
	size, ok := parseBytes(text)
	if !ok {
		return fmt.Errorf("must be a size with its unit, such as \"64KiB\" or \"1.5MiB\", not %v", v)
	}
	*b = size
	return nil
}

// parseBytes parses a number followed by a unit. It returns false if the unit is missing, the number is malformed, or the size
// is negative or above maxBytes.
func parseBytes(text string) (Bytes, bool) {
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(text, unit.name)
		if !found {
			continue
		}
		number, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		size := number * float64(unit.size)
		inRange := number >= 0 && size <= maxBytes // also false if number is NaN
		if err != nil || !inRange {
			return 0, false
		}
		return Bytes(size), true
	}
	return 0, false
}

// String formats the size in the largest unit that is not larger than the size, such as "1.5MiB".
func (b Bytes) String() string {
	for _, unit := range []byteUnit{byteUnits[2], byteUnits[1], byteUnits[0]} {
		if int64(b) >= unit.size {
			return strconv.FormatFloat(float64(b)/float64(unit.size), 'f', -1, 64) + unit.name
		}
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}
