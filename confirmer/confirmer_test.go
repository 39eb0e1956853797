package confirmer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHeld guards against a record that counts as held although it would be forgotten with this process, or with all processes at once.
func TestHeld(t *testing.T) {
	is := is.New(t)
	var c Confirmer
	groups := func(sequence uint64, groups ...[]string) bool {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		return c.Wait(ctx, sequence, groups...)
	}
	held := func(sequence uint64, names ...string) bool { return groups(sequence, names) }
	is.True(!held(2))
	is.True(!held(2, "a", "b"))
	c.Acknowledged("a", 2)
	is.True(!held(2, "a", "b")) // half of the nodes may end together with this one
	c.Acknowledged("b", 1)
	is.True(!held(2, "a", "b"))
	c.Acknowledged("b", 2)
	c.Acknowledged("b", 1)      // overtaken on its way
	is.True(!held(2, "a", "b")) // all nodes may end together
	is.True(!held(2))
	c.Stored(1)
	is.True(!held(2, "a", "b"))
	c.Stored(3)
	is.True(held(2, "a", "b"))
	is.True(!held(2, "a", "b", "c", "d")) // the store may not answer when this node has restarted
	is.True(!held(3, "c"))
	is.True(held(3)) // no node is linked
	is.True(!held(4))
	is.True(groups(2, []string{"a", "b"}, []string{"b"}))
	is.True(!groups(2, []string{"a", "b"}, []string{"c"})) // most linked nodes, but none of the replicas
	is.True(!groups(2, []string{"c"}, []string{"a", "b"}))
}

// TestWait guards against an acknowledgement that comes later than needed, or never.
func TestWait(t *testing.T) {
	is := is.New(t)
	var c Confirmer
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	result := make(chan bool, 2)
	for range 2 {
		go func() { result <- c.Wait(ctx, 1, []string{"a"}) }()
	}
	c.Acknowledged("b", 1)
	c.Stored(1)
	c.Acknowledged("a", 1)
	is.True(<-result)
	is.True(<-result)
}
