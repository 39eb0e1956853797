package requester

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOneCopy guards against a large configuration that is requested from each peer that announces it: the store delivers it
// within storeTime.
func TestOneCopy(t *testing.T) {
	is := is.New(t)
	r := &Requester{}
	r.Applied(1)
	requests := 0
	for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
		if now < 200*time.Millisecond {
			r.Announced(now, fmt.Sprint("peer-", now), 2, false)
		}
		if now == 200*time.Millisecond {
			r.Applied(2)
		}
		if _, due := r.Due(now); due {
			requests++
		}
	}
	is.Equal(requests, 0)
}

// TestStoreSilent guards against a node that stays with an old configuration because its store, or the first peer that it
// asks, does not answer, and against copies from another zone while a peer in the own zone has one.
func TestStoreSilent(t *testing.T) {
	is := is.New(t)
	r := &Requester{}
	r.Applied(1)
	r.Announced(0, "far", 2, false)
	r.Announced(0, "near", 2, true)
	_, due := r.Due(storeTime - 1)
	is.True(!due)
	name, _ := r.Due(storeTime)
	is.Equal(name, "near")
	_, due = r.Due(storeTime + answerTime - 1)
	is.True(!due)
	name, _ = r.Due(storeTime + answerTime)
	is.Equal(name, "far")
	is.True(storeTime+2*answerTime < 2*time.Second) // two peers may fail before a change must be in force
	_, due = r.Due(storeTime + 2*answerTime)
	is.True(!due)
	r.Announced(5*time.Second, "near", 2, true)
	name, _ = r.Due(5*time.Second + storeTime)
	is.Equal(name, "near")
}

// TestNewest guards against a request for a version that a later one has replaced.
func TestNewest(t *testing.T) {
	is := is.New(t)
	r := &Requester{}
	r.Announced(0, "a", 2, true)
	r.Announced(0, "b", 3, false)
	name, _ := r.Due(0) // without a configuration, at once
	is.Equal(name, "b")
	r.Applied(3)
	_, due := r.Due(time.Minute)
	is.True(!due)
	r.Announced(time.Minute, "a", 3, true)
	r.Announced(time.Minute, "a", 4, true)
	name, _ = r.Due(time.Minute + storeTime)
	is.Equal(name, "a")
}
