package locator

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

func member(name, address string, incarnation uint64) hornbeamcroft.Member {
	return hornbeamcroft.Member{Name: name, Address: address, Incarnation: incarnation}
}

func names(l *Locator) string {
	var list []string
	for _, m := range l.Members() {
		list = append(list, m.Name)
	}
	return strings.Join(list, " ")
}

// TestForget guards against running members that are dropped, and against ended members that are kept.
func TestForget(t *testing.T) {
	is := is.New(t)
	var l Locator
	a, b := member("a", "1", 1), member("b", "2", 1)
	l.ReplaceRecords(0, []hornbeamcroft.Member{a, b})
	l.ApplyNotice(time.Second, b)
	l.ReplaceRecords(time.Second, nil)
	l.Tick(time.Second+missingTimeout-1, false)
	is.Equal(names(&l), "a b") // missing for less than missingTimeout
	l.Tick(time.Second+missingTimeout, false)
	is.Equal(names(&l), "b") // b still has a link
	l.Unlink(10*time.Second, "b")
	l.Tick(20*time.Second, true)
	is.Equal(names(&l), "b") // no member is dropped while the store is unavailable
	l.Tick(20*time.Second+missingTimeout, false)
	is.Equal(names(&l), "")
}

// TestOrder guards against an older record that replaces a newer one, and against two members with the same address.
func TestOrder(t *testing.T) {
	is := is.New(t)
	var l Locator
	l.ApplyNotice(0, member("a", "1", 2))
	l.Put(0, member("a", "1", 1))
	m, _ := l.Member("a")
	is.Equal(m.Incarnation, uint64(2))
	l.Put(0, member("b", "1", 3))
	is.Equal(names(&l), "b")
}

// TestClockSetBack guards against a node that is ignored after a restart because its clock was set back before, so that its
// incarnation is lower than that of the process before.
func TestClockSetBack(t *testing.T) {
	before := hornbeamcroft.Member{Name: "a", Address: "1", Incarnation: 9, Sequence: 5, Stopping: true}
	after := hornbeamcroft.Member{Name: "a", Address: "1", Incarnation: 4}
	check := func(t *testing.T, l *Locator, want uint64) {
		t.Helper()
		m, _ := l.Member("a")
		is.New(t).Equal(m.Incarnation, want)
	}
	t.Run("record", func(t *testing.T) {
		var l Locator
		l.ReplaceRecords(0, []hornbeamcroft.Member{before})
		l.ReplaceRecords(time.Second, []hornbeamcroft.Member{after})
		check(t, &l, 4)
	})
	t.Run("link", func(t *testing.T) {
		var l Locator
		l.ReplaceRecords(0, []hornbeamcroft.Member{before})
		l.ApplyNotice(0, before)
		l.Introduce("a", 4) // the old link may still be open: its host lost power
		l.ApplyNotice(time.Second, after)
		check(t, &l, 4)
		l.ApplyNotice(time.Second, before) // a late notice of the previous process
		check(t, &l, 4)
		l.ReplaceRecords(time.Second, []hornbeamcroft.Member{before}) // an old copy of the store
		check(t, &l, 4)
		l.Unlink(2*time.Second, "a")
		l.ReplaceRecords(2*time.Second, []hornbeamcroft.Member{before})
		check(t, &l, 4)
	})
	t.Run("link before record", func(t *testing.T) {
		var l Locator
		l.Introduce("a", 4)
		l.ApplyNotice(0, after)
		l.ReplaceRecords(time.Second, []hornbeamcroft.Member{before})
		check(t, &l, 4)
	})
	t.Run("clock set forward", func(t *testing.T) {
		var l Locator
		l.ReplaceRecords(0, []hornbeamcroft.Member{after})
		l.Introduce("a", 9)
		l.ApplyNotice(0, before)
		l.ReplaceRecords(time.Second, []hornbeamcroft.Member{after})
		check(t, &l, 9)
	})
}
