package parser

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// fields reads the keys of one section and collects their problems.
type fields struct {
	section string
	ini     *ini.Section
	used    map[string]bool
	add     func(section, key, value, allowed string)
}

// raw returns the value of key and marks the key as known.
func (f *fields) raw(key string) (string, bool) {
	f.used[key] = true
	if !f.ini.HasKey(key) {
		return "", false
	}
	k := f.ini.Key(key)
	if all := k.ValueWithShadows(); len(all) > 1 {
		f.add(f.section, key, strings.Join(all, ", "), "the key appears twice; allowed is once")
	}
	return k.Value(), true
}

// missing reports a key without a default.
func (f *fields) missing(key, allowed string) {
	f.add(f.section, key, "(missing)", "required; "+allowed)
}

func (f *fields) integer(key string, fallback, least, most int) int {
	allowed := fmt.Sprintf("allowed is an integer from %d to %d without a unit", least, most)
	s, ok := f.raw(key)
	if !ok {
		if fallback < least {
			f.missing(key, allowed)
		}
		return fallback
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < least || n > most {
		f.add(f.section, key, s, allowed)
		return max(fallback, least)
	}
	return n
}

// duration reads a number with a unit. A bare number is refused, since its unit would be a guess.
func (f *fields) duration(key string, fallback, least, most time.Duration) time.Duration {
	s, ok := f.raw(key)
	if !ok {
		return fallback
	}
	d, err := parseDuration(s)
	if err != nil || d < least || d > most {
		f.add(f.section, key, s, fmt.Sprintf("allowed is a duration from %s to %s with a unit (us, ms, s, m, h, d)",
			FormatDuration(least), FormatDuration(most)))
		return fallback
	}
	return d
}

// day is the unit d of durations; it ignores changes of the calendar.
const day = 24 * time.Hour

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

// FormatDuration returns d in the largest unit that divides it, for example 30d, 10m or 100ms.
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

var byteUnits = []struct {
	name string
	unit int
}{{"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

func (f *fields) bytes(key string, fallback, least, most int) int {
	s, ok := f.raw(key)
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
	f.add(f.section, key, s, fmt.Sprintf("allowed is a size from %s to %s with a unit (B, KiB, MiB)",
		FormatBytes(least), FormatBytes(most)))
	return fallback
}

// FormatBytes returns n in the largest unit that divides it, for example 64KiB.
func FormatBytes(n int) string {
	for _, u := range byteUnits {
		if n%u.unit == 0 {
			return strconv.Itoa(n/u.unit) + u.name
		}
	}
	return strconv.Itoa(n)
}

// share reads a share as a percentage or a decimal. The bounds are exclusive if open is set.
func (f *fields) share(key string, fallback float64, open bool) (float64, bool) {
	s, ok := f.raw(key)
	if !ok {
		return fallback, false
	}
	digits, percent := strings.CutSuffix(s, "%")
	v, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
	if percent {
		v /= 100
	}
	outside := math.IsNaN(v) || v < 0 || v > 1 || open && (v == 0 || v == 1)
	if err != nil || outside {
		allowed := "allowed is a share from 0 to 1 or 0% to 100%"
		if open {
			allowed = "allowed is a share above 0 and below 1, for example 0.999 or 99.9%"
		}
		f.add(f.section, key, s, allowed)
		return fallback, true
	}
	return v, true
}

func (f *fields) boolean(key string, fallback bool) bool {
	s, ok := f.raw(key)
	switch {
	case !ok:
		return fallback
	case s == "yes":
		return true
	case s != "no":
		f.add(f.section, key, s, "allowed are yes, no")
	}
	return false
}

// unknown reports the keys that were not read.
func (f *fields) unknown() {
	known := make([]string, 0, len(f.used))
	for _, info := range Keys {
		if f.used[info.Key] && info.Kind == kindOf(f.section) {
			known = append(known, info.Key)
		}
	}
	for _, k := range f.ini.Keys() {
		if !f.used[k.Name()] {
			f.add(f.section, k.Name(), k.Value(), "unknown key; allowed are "+strings.Join(known, ", "))
		}
	}
}
