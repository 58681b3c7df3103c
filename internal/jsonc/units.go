package jsonc

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is a duration written as a Go duration string such as "2s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("not a duration, allowed: a number with a unit, such as \"250ms\", \"2s\" or \"1h\"")
	}
	*d = Duration(parsed)
	return nil
}

// Bytes is a size in bytes, written as a number with a unit, such as "64MiB".
type Bytes int64

type byteUnit struct {
	suffix string
	size   int64
}

// byteUnits is ordered such that a suffix precedes the shorter suffixes that it
// ends with. The first four are the binary units.
var byteUnits = []byteUnit{
	{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10},
	{"TB", 1e12}, {"GB", 1e9}, {"MB", 1e6}, {"kB", 1e3}, {"B", 1},
}

// MarshalText implements encoding.TextMarshaler.
func (b Bytes) MarshalText() ([]byte, error) {
	for _, unit := range byteUnits[:4] {
		if b != 0 && int64(b)%unit.size == 0 {
			return []byte(strconv.FormatInt(int64(b)/unit.size, 10) + unit.suffix), nil
		}
	}
	return []byte(strconv.FormatInt(int64(b), 10) + "B"), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Bytes) UnmarshalText(text []byte) error {
	for _, unit := range byteUnits {
		number, found := strings.CutSuffix(string(text), unit.suffix)
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || value < 0 || value*float64(unit.size) >= math.MaxInt64 {
			break
		}
		*b = Bytes(value * float64(unit.size))
		return nil
	}
	return fmt.Errorf("not a size, allowed: a number with a unit, such as \"64MiB\" or \"10GB\"")
}
