package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hornbeamcroft"
)

// BenchmarkPick measures one choice among 47 members in 4 zones, of which 16 have an open link.
func BenchmarkPick(b *testing.B) {
	for _, even := range []bool{false, true} {
		b.Run(fmt.Sprintf("even=%v", even), func(b *testing.B) {
			p, rnd := modelPlacer(47, even), rand.New(rand.NewPCG(1, 1))
			for b.Loop() {
				p.Pick(time.Second, rnd, Requirements{Slack: time.Second, Exclude: func(string) bool { return false }})
			}
		})
	}
}

func modelPlacer(n int, even bool) *Placer {
	var members []hornbeamcroft.Member
	for i := range n {
		members = append(members, newMember(fmt.Sprintf("u%02d", i), fmt.Sprint("z", i%4)))
	}
	p := &Placer{Zone: "z0", Even: even}
	p.Update(members)
	for i, m := range members {
		p.SetLinked(m.Name, i%3 == 0)
		p.Report(time.Second, m.Name, load(i%12, 0))
	}
	return p
}
