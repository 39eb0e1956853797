package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hornbeamcroft"
)

// BenchmarkPick measures one choice among 47 members in 4 zones, of which 16 have an open link, with free slots and with
// queues at all members.
func BenchmarkPick(b *testing.B) {
	for _, waiting := range []int{0, 20} {
		for _, even := range []bool{false, true} {
			b.Run(fmt.Sprintf("waiting=%d/even=%v", waiting, even), func(b *testing.B) {
				p, rnd := benchPlacer(waiting, even), rand.New(rand.NewPCG(1, 1))
				for b.Loop() {
					p.Pick(time.Second, rnd, Requirements{Slack: time.Second, Exclude: func(string) bool { return false }})
				}
			})
		}
	}
}

func benchPlacer(waiting int, even bool) *Placer {
	const count = 47
	var members []hornbeamcroft.Member
	for i := range count {
		members = append(members, newMember(fmt.Sprintf("u%02d", i), fmt.Sprint("z", i%4)))
	}
	p := &Placer{Zone: "z0", Even: even}
	p.Update(members)
	for i, m := range members {
		p.SetLinked(m.Name, i%3 == 0)
		p.Report(time.Second, m.Name, load(i%10, waiting))
	}
	return p
}
