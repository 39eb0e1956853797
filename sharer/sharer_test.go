package sharer

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

const window = 100 * time.Millisecond

// scenario is one case of the data file.
type scenario struct {
	name     string
	capacity float64
	tenants  map[string][2]float64
	limited  []string
}

// scenarios reads the data file.
func scenarios(t *testing.T) []scenario {
	t.Helper()
	data, err := os.ReadFile("testdata/shares.txt")
	if err != nil {
		t.Fatal(err)
	}
	var list []scenario
	for line := range strings.Lines(string(data)) {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" || words[0] == "end" {
			continue
		}
		if words[0] == "case" {
			list = append(list, scenario{name: strings.Join(words[1:], " "), tenants: make(map[string][2]float64)})
			continue
		}
		c := &list[len(list)-1]
		switch words[0] {
		case "capacity":
			c.capacity = number(t, words[1])
		case "tenant":
			c.tenants[words[1]] = [2]float64{number(t, words[2]), number(t, words[3])}
		case "limited":
			c.limited = append(c.limited, words[1]+" "+words[2])
		}
	}
	return list
}

func number(t *testing.T, text string) float64 {
	t.Helper()
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// run offers the demand of the tenants for the given number of windows. Each request holds a slot for one window.
func (c scenario) run(s *Sharer, from, windows int) {
	for n := range windows {
		w := Window{Now: time.Duration(from+n+1) * window, Length: window, Capacity: c.capacity}
		for name, v := range c.tenants {
			s.Arrive(w.Now-window, name, hornbeamcroft.ImportanceNormal, v[0], v[1])
			w.Demand[hornbeamcroft.ImportanceNormal] += v[1]
		}
		w.ServiceSeconds[hornbeamcroft.ImportanceNormal] = window.Seconds()
		s.Close(w)
	}
}

// settled is a number of windows after which the smoothed demand is the offered one.
const settled = 400

// TestShares guards against tenants that are limited although they stay below their share, and against one that takes the capacity
// of others.
func TestShares(t *testing.T) {
	for _, c := range scenarios(t) {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s Sharer
			c.run(&s, 0, settled)
			var got []string
			for _, share := range s.Shares() {
				got = append(got, fmt.Sprintf("%s %d", share.Tenant, share.Keep))
				exceeds := 0
				for range 1000 {
					if s.Exceeds(share.Tenant, share.Importance, 1) {
						exceeds++
					}
				}
				is.True(exceeds >= 998-share.Keep && exceeds <= 1001-share.Keep)
			}
			slices.Sort(got)
			is.Equal(got, c.limited)
		})
	}
}

// TestSilence guards against a tenant that is limited for what it demanded long ago, against credit that a tenant saves while it is
// silent, and against tenants that are never forgotten.
func TestSilence(t *testing.T) {
	is := is.New(t)
	var s Sharer
	hot := scenario{capacity: 10, tenants: map[string][2]float64{"a": {1, 2}, "b": {1, 30}}}
	hot.run(&s, 0, settled)
	is.Equal(len(s.Shares()), 1)
	calm := scenario{capacity: 10, tenants: map[string][2]float64{"a": {1, 2}}}
	calm.run(&s, settled, settled)
	is.Equal(len(s.Shares()), 0)
	is.Equal(len(s.tenants), 1)
	hot.run(&s, 2*settled, settled)
	admitted := 0
	for !s.Exceeds("b", hornbeamcroft.ImportanceNormal, 1) {
		admitted++
	}
	is.True(admitted <= 2)
}

// TestTenantsAreBounded guards against memory that grows with the number of tenants.
func TestTenantsAreBounded(t *testing.T) {
	is := is.New(t)
	var s Sharer
	for i := range 2 * maxTenants {
		s.Arrive(0, strconv.Itoa(i), hornbeamcroft.ImportanceNormal, 1, 1)
	}
	is.Equal(len(s.tenants), maxTenants)
}
