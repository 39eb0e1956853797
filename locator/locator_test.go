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
