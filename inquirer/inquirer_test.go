package inquirer

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"hornbeamcroft/scripter"
)

// events are what may happen to a node that has started, by the letter in the scripts.
var events = map[rune]func(i *Inquirer, now time.Duration){
	'c': func(i *Inquirer, now time.Duration) { i.Configured(now) },
	'l': func(i *Inquirer, now time.Duration) { i.Linked(now) },
	'h': func(i *Inquirer, _ time.Duration) { i.Announced() },
	'o': func(i *Inquirer, _ time.Duration) { i.Listed(0, false) },
	'x': func(i *Inquirer, _ time.Duration) { i.Listed(0, true) },
	'2': func(i *Inquirer, _ time.Duration) { i.Listed(2, true) },
	'n': func(i *Inquirer, _ time.Duration) { i.Listed(2, false) },
	'9': func(i *Inquirer, _ time.Duration) { i.Listed(9, true) },
	'q': func(i *Inquirer, _ time.Duration) { i.SetReplicas([]string{"A", "B"}) },
	'r': func(i *Inquirer, _ time.Duration) { i.SetReplicas([]string{"A", "B", "C", "D", "E"}) },
}

// TestScripts guards against a node that runs requests before it was told what its earlier process knew, and against one that holds them
// for longer than needed. The words of a command are the events, of which each takes 100 ms, a capital letter is the name of a peer that is
// heard, and a dot is a step without an event; the command shows the step, counted from 0, after which requests run.
func TestScripts(t *testing.T) {
	scripter.Scripter{New: func(*testing.T) func(*testing.T, []string) string {
		return func(_ *testing.T, words []string) string { return strconv.Itoa(doneAt(strings.Join(words, ""))) }
	}}.Run(t)
}

// doneAt returns the step after which requests run.
func doneAt(steps string) int {
	const maxSteps = 200
	var i Inquirer
	for n := range maxSteps {
		now := time.Duration(n) * 100 * time.Millisecond
		if n < len(steps) && steps[n] != '.' {
			if event := events[rune(steps[n])]; event != nil {
				event(&i, now)
			} else {
				i.Heard(steps[n : n+1])
			}
		}
		if i.Done(now) {
			return n
		}
	}
	return maxSteps
}

// TestAsk guards against a node that opens links to all nodes when it starts.
func TestAsk(t *testing.T) {
	var i Inquirer
	names := strings.Split("abcdefghij", "")
	i.Heard("b")
	first := i.Ask(0, names)
	again := i.Ask(askInterval-1, names)
	next := i.Ask(askInterval, names)
	if got := strings.Join(slices.Concat(first, again, next), ""); got != "acdefghi" || len(first) != maxAsked || len(again) != 0 {
		t.Errorf("asked %v, then %v, then %v", first, again, next)
	}
	i.SetReplicas([]string{"b", "h", "k"})
	if got := strings.Join(i.Ask(askInterval, names), ""); got != "k" {
		t.Errorf("asked %s, want the replica that was not asked before", got)
	}
	if got := strings.Join(i.Ask(3*askInterval, names), ""); got != "hkj" {
		t.Errorf("asked %s, want the replicas that were not heard, and who is left", got)
	}
	i.Heard("c")
	i.Heard("h")
	if !i.Done(0) || i.Ask(time.Hour, names) != nil {
		t.Error("asks although enough peers were heard")
	}
}
