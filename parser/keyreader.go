package parser

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// keyReader reads the keys of one section. Its methods return the fallback for a key that is absent, and report a key
// whose value is not allowed; least and most are inclusive bounds.
type keyReader struct {
	section string
	ini     *ini.Section
	// known holds the keys that were read, whether present or not.
	known      map[string]bool
	addProblem func(section, key, value, allowed string)
}

// value returns the value of key and whether the key is present, and adds the key to the known ones. A key that appears
// more than once is a problem.
func (r *keyReader) value(key string) (string, bool) {
	r.known[key] = true
	if !r.ini.HasKey(key) {
		return "", false
	}
	k := r.ini.Key(key)
	if all := k.ValueWithShadows(); len(all) > 1 {
		r.addProblem(r.section, key, strings.Join(all, ", "), "the key appears more than once; it must appear only once")
	}
	return k.Value(), true
}

// reportMissing reports that a required key is absent.
func (r *keyReader) reportMissing(key, allowed string) {
	r.addProblem(r.section, key, "(missing)", "required; "+allowed)
}

// integer reads an integer without a unit. A fallback below least makes the key required.
func (r *keyReader) integer(key string, fallback, least, most int) int {
	allowed := fmt.Sprintf("must be an integer from %d to %d without a unit", least, most)
	s, ok := r.value(key)
	if !ok {
		if fallback < least {
			r.reportMissing(key, allowed)
		}
		return fallback
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < least || n > most {
		r.addProblem(r.section, key, s, allowed)
		return max(fallback, least)
	}
	return n
}

// duration reads a number with a unit. A number without a unit is refused, since its unit could only be guessed.
func (r *keyReader) duration(key string, fallback, least, most time.Duration) time.Duration {
	s, ok := r.value(key)
	if !ok {
		return fallback
	}
	d, err := parseDuration(s)
	if err != nil || d < least || d > most {
		r.addProblem(r.section, key, s, fmt.Sprintf("must be a duration from %s to %s with a unit (us, ms, s, m, h, d)",
			FormatDuration(least), FormatDuration(most)))
		return fallback
	}
	return d
}

// day is the unit d of durations. It always has 24 hours; changes of daylight saving time do not count.
const day = 24 * time.Hour

// parseDuration parses a whole number of days with the suffix d, or a duration in the form of time.ParseDuration. A 0
// without a unit, which time.ParseDuration accepts, is an error.
func parseDuration(s string) (time.Duration, error) {
	if days, ok := strings.CutSuffix(s, "d"); ok {
		n, err := strconv.ParseUint(days, 10, 16)
		return time.Duration(n) * day, err
	}
	if s == "0" {
		return 0, strconv.ErrSyntax
	}
	return time.ParseDuration(s)
}

// FormatDuration returns d in the largest unit from days to microseconds that divides it, for example 30d, 10m or
// 100ms. Zero and durations that no such unit divides have the form of time.Duration.String.
func FormatDuration(d time.Duration) string {
	units := []struct {
		name string
		unit time.Duration
	}{{"d", day}, {"h", time.Hour}, {"m", time.Minute}, {"s", time.Second}, {"ms", time.Millisecond}, {"us", time.Microsecond}}
	for _, u := range units {
		if d != 0 && d%u.unit == 0 {
			return strconv.FormatInt(int64(d/u.unit), 10) + u.name
		}
	}
	return d.String()
}

// byteUnits lists the units of sizes, the largest first. B comes last, since it is also the end of the other two.
var byteUnits = []struct {
	name string
	unit int
}{{"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// bytes reads a size with a unit and returns it in bytes.
func (r *keyReader) bytes(key string, fallback, least, most int) int {
	s, ok := r.value(key)
	if !ok {
		return fallback
	}
	for _, u := range byteUnits {
		digits, found := strings.CutSuffix(s, u.name)
		if !found {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 31)
		if err == nil && int(n) <= most/u.unit && int(n)*u.unit >= least {
			return int(n) * u.unit
		}
		break
	}
	r.addProblem(r.section, key, s, fmt.Sprintf("must be a size from %s to %s with a unit (B, KiB, MiB)",
		FormatBytes(least), FormatBytes(most)))
	return fallback
}

// FormatBytes returns a size of n bytes in the largest unit that divides it, for example 64KiB.
func FormatBytes(n int) string {
	for _, u := range byteUnits {
		if n%u.unit == 0 {
			return strconv.Itoa(n/u.unit) + u.name
		}
	}
	return strconv.Itoa(n)
}

// share reads a share from 0 to 1, written as a percentage or a decimal, and returns whether the key is present. With
// exclusive set, the bounds 0 and 1 are not allowed.
func (r *keyReader) share(key string, fallback float64, exclusive bool) (float64, bool) {
	s, ok := r.value(key)
	if !ok {
		return fallback, false
	}
	digits, percent := strings.CutSuffix(s, "%")
	v, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
	if percent {
		v /= 100
	}
	outside := math.IsNaN(v) || v < 0 || v > 1 || exclusive && (v == 0 || v == 1)
	if err != nil || outside {
		allowed := "must be a share from 0 to 1 or 0% to 100%"
		if exclusive {
			allowed = "must be a share above 0 and below 1, for example 0.999 or 99.9%"
		}
		r.addProblem(r.section, key, s, allowed)
		return fallback, true
	}
	return v, true
}

// boolean reads yes or no.
func (r *keyReader) boolean(key string, fallback bool) bool {
	s, ok := r.value(key)
	switch {
	case !ok:
		return fallback
	case s == "yes":
		return true
	case s != "no":
		r.addProblem(r.section, key, s, "must be yes or no")
	}
	return false
}

// reportUnknown reports the keys of the section that no method has read.
func (r *keyReader) reportUnknown() {
	allowed := make([]string, 0, len(r.known))
	for _, info := range Keys {
		if r.known[info.Key] && info.Kind == kindOf(r.section) {
			allowed = append(allowed, info.Key)
		}
	}
	for _, k := range r.ini.Keys() {
		if !r.known[k.Name()] {
			r.addProblem(r.section, k.Name(), k.Value(), "unknown key; must be one of "+strings.Join(allowed, ", "))
		}
	}
}
