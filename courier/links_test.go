package courier

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/placer"
	"hornbeamcroft/rationer"
)

type clock struct{}

func (clock) Now() time.Duration { return 0 }

// TestLinks guards against a number of links that grows with the square of the number of hosts, against nodes that all
// link to the same hosts, and against a node without links in its own zone.
func TestLinks(t *testing.T) {
	is := is.New(t)
	var members []hornbeamcroft.Member
	for i := range 120 {
		members = append(members, hornbeamcroft.Member{
			Name: fmt.Sprintf("host-%d", i), Zone: fmt.Sprintf("zone-%d", i%4), Service: "s",
			State: hornbeamcroft.MemberServing, Incarnation: 1,
		})
	}
	dialed := make(map[string]int)
	for i := range 120 {
		linked := make(map[string]bool)
		c := &Courier{
			Clock: clock{}, Name: members[i].Name, Zone: members[i].Zone, Rationer: &rationer.Rationer{},
			Linked: func(name string) bool { return linked[name] },
		}
		c.Dial = func(m hornbeamcroft.Member) {
			linked[m.Name] = true
			dialed[m.Name]++
		}
		c.Update(members)
		local := 0
		c.mu.Lock()
		missing := c.updatePlacer("s", &placer.Placer{Zone: c.Zone})
		c.mu.Unlock()
		c.dialAll(missing)
		for _, m := range missing {
			if m.Zone == c.Zone {
				local++
			}
		}
		is.True(local >= targetLocalLinks-1)
		is.True(len(linked) <= targetLinks)
		c.mu.Lock()
		is.Equal(len(c.updatePlacer("s", &placer.Placer{Zone: c.Zone})), 0) // no link is missing
		c.mu.Unlock()
	}
	for name, n := range dialed {
		if n > 4*targetLinks {
			t.Errorf("%d of 120 nodes link to %s", n, name)
		}
	}
}
