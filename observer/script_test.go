package observer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/scripter"
)

// TestScripts plays the scripts in testdata. Each says in its first lines which failure it guards against.
func TestScripts(t *testing.T) {
	scripter.Scripter{New: func(*testing.T) func(*testing.T, []string) string {
		s := &script{observer: Observer{Service: "s", Address: "1"}}
		return s.run
	}}.Run(t)
}

// script is an observer at the time now.
type script struct {
	observer Observer
	now      time.Duration
}

// run runs a command, whose words are its name, an instance, a time of start, the sequence of a heartbeat and its further marks, or the time of
// day of an answer. It returns the
// outcome and the known start.
func (s *script) run(t *testing.T, words []string) string {
	t.Helper()
	number := func(i int) int64 {
		n, err := strconv.ParseInt(words[i], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	o := &s.observer
	outcome := words[0]
	switch words[0] {
	case "wait":
		s.now += time.Duration(number(1)) * time.Millisecond
	case "heartbeat":
		a := heartbeat(words[1], number(2), number(3))
		a.Draining = slices.Contains(words, "draining")
		if slices.Contains(words, "other-service") {
			a.Service = "t"
		}
		if slices.Contains(words, "other-address") {
			a.Address = "2"
		}
		outcome = o.ApplyAnnouncement(s.now, a).String()
	case "depart":
		outcome = o.ApplyDeparture(words[1], number(2)).String()
	case "served":
		o.ApplyServed(words[1], number(2))
	case "left":
		o.ApplyLeft(words[1], number(2), 4)
	case "probe":
		o.ApplyHealthProbe(words[1], true, 4)
	case "states-leaving":
		at := Moment{Monotonic: s.now, UnixMilli: number(3)}
		o.ApplyStatement(at, words[1], number(2), hornbeamcroft.Statement{Leaving: true})
	case "replaced":
		o.MarkReplaced(words[1])
	default:
		t.Fatalf("unknown command %s", words[0])
	}
	u := o.Upstream()
	return strings.TrimSpace(fmt.Sprintf("%s: %s %d %s", outcome, u.Instance, u.Born, u.State))
}
