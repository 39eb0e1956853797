package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// TestExplain guards against an explanation that names another cheapest member than Pick returns, that leaves out a member without the
// right reason, or that changes what Pick returns next.
func TestExplain(t *testing.T) {
	stopping := newMember("c", "here")
	stopping.Stopping = true
	draining := newMember("d", "here")
	draining.State = hornbeamcroft.MemberDraining
	f := newFixture(newMember("a", "here"), newMember("b", "there"), stopping, draining, newMember("e", "here"), newMember("f", "here"))
	f.SetLinked("e", false)
	f.MarkUnreachable(0, "f")
	check := func(slack time.Duration, want ...string) {
		t.Helper()
		is := is.New(t)
		before := make([]member, 0, len(f.members))
		for _, m := range f.members {
			before = append(before, *m)
		}
		list := f.Explain(0, Requirements{Slack: slack})
		for i, m := range f.members {
			is.Equal(*m, before[i]) // nothing is changed
		}
		var got []string
		for _, c := range list {
			got = append(got, c.Name+" "+c.LeftOut)
		}
		is.Equal(got, want)
		is.Equal(f.pick(slack), list[0].Name)
	}
	others := []string{"c stopping", "d not serving", "e not linked", "f unreachable"}
	check(time.Second, append([]string{"a ", "b "}, others...)...)
	f.Report(0, "a", load(10, 5)) // a queue delay of 30 ms
	check(time.Second, append([]string{"a ", "b "}, others...)...)
	check(200*time.Millisecond, append([]string{"b ", "a "}, others...)...)
	f.SetLinked("a", false)
	f.SetLinked("b", false) // only stopping members have links: those without one are tried before
	check(200*time.Millisecond, "e ", "b ", "a ", "c stopping", "d not serving", "f unreachable")
	other := stopping
	other.Name = "g"
	f.Update([]hornbeamcroft.Member{stopping, other})
	check(time.Second, "c ", "g not linked") // all are stopping
}
