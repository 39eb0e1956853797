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

// TestForget guards against living members that are forgotten, and against dead ones that are kept.
func TestForget(t *testing.T) {
	is := is.New(t)
	var l Locator
	a, b := member("a", "1", 1), member("b", "2", 1)
	l.List(0, []hornbeamcroft.Member{a, b})
	l.Hear(time.Second, b)
	l.List(time.Second, nil)
	l.Tick(time.Second+forgetTime-1, false)
	is.Equal(names(&l), "a b") // missing for less than forgetTime
	l.Tick(time.Second+forgetTime, false)
	is.Equal(names(&l), "b") // its link speaks for b
	l.Unlink(10*time.Second, "b")
	l.Tick(20*time.Second, true)
	is.Equal(names(&l), "b") // nobody is forgotten while the store is away
	l.Tick(20*time.Second+forgetTime, false)
	is.Equal(names(&l), "")
}

// TestOrder guards against late news that replaces newer, and against two members at one address.
func TestOrder(t *testing.T) {
	is := is.New(t)
	var l Locator
	l.Hear(0, member("a", "1", 2))
	l.Put(0, member("a", "1", 1))
	m, _ := l.Member("a")
	is.Equal(m.Incarnation, uint64(2))
	l.Put(0, member("b", "1", 3))
	is.Equal(names(&l), "b")
}
