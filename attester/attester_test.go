package attester

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/scripter"
)

// zeroRand returns the least values.
type zeroRand struct{}

func (zeroRand) Uint64() uint64   { return 0 }
func (zeroRand) IntN(int) int     { return 0 }
func (zeroRand) Float64() float64 { return 0 }

// TestScenarios runs the scripts. Each line is a time in milliseconds, a command and, after "->", its result. The node is node-1
// in zone z; the first line of each script says which failure it guards against.
func TestScenarios(t *testing.T) {
	scripter.Scripter{New: func(*testing.T) func(*testing.T, []string) string {
		a := &Attester{Name: "node-1", Zone: "z", Rand: zeroRand{}}
		return func(t *testing.T, words []string) string { return runCommand(t, a, words) }
	}}.Run(t)
}

// fields holds the numbers of a command: version, sum, era and two times in milliseconds.
type fields struct {
	version, era int64
	sum, nonce   uint64
	ms           int64
}

// parseFields parses words such as v6, sum1, era1, q1 and 100ms.
func parseFields(t *testing.T, words []string) (f fields) {
	t.Helper()
	for _, w := range words {
		for format, target := range map[string]any{"v%d": &f.version, "sum%d": &f.sum, "era%d": &f.era, "q%d": &f.nonce, "%dms": &f.ms} {
			if n, err := fmt.Sscanf(w, format, target); n == 1 && err == nil {
				break
			}
		}
	}
	return f
}

func runCommand(t *testing.T, a *Attester, words []string) string {
	t.Helper()
	var nowMs int64
	if _, err := fmt.Sscan(words[0], &nowMs); err != nil {
		t.Fatalf("%v: %v", words, err)
	}
	now := time.Duration(nowMs) * time.Millisecond
	f := parseFields(t, words[2:])
	d := time.Duration(f.ms) * time.Millisecond
	message := Message{Nonce: f.nonce, Version: f.version, Sum: f.sum, Era: f.era, Age: d}
	peers := func() []Peer {
		return []Peer{{"p-1", "z"}, {"p-2", "z"}, {"p-3", "z"}, {"p-4", "z"}, {"p-5", "z"}, {"q-1", "y"}, {"q-2", "y"}, {"q-3", "y"}}
	}
	switch words[1] {
	case "members":
		var members []hornbeamcroft.Member
		for _, w := range words[2:] {
			name, zone, _ := strings.Cut(w, "/")
			members = append(members, hornbeamcroft.Member{Name: name, Zone: zone})
		}
		a.SetMembers(members)
		return [...]string{"none", "standby", "reader"}[a.Role()]
	case "applied":
		a.Applied(now, f.version, f.sum, words[len(words)-1] == "tenants")
		return ""
	case "reads":
		return fmt.Sprint(a.Reads(now))
	case "asked": // the time is that before the call was sent
		a.Asked(Proof{At: d, Version: f.version, Sum: f.sum, Era: f.era})
		return ""
	case "unproven":
		a.Unproven()
		return ""
	case "refused":
		a.Refused()
		return ""
	case "age":
		age, proven := a.Age(now, f.version)
		if !proven {
			return "none"
		}
		return fmt.Sprintf("%dms", age.Milliseconds())
	}
	return runPassing(t, a, words[1:], now, message, peers)
}

func runPassing(t *testing.T, a *Attester, words []string, now time.Duration, m Message, peers func() []Peer) string {
	t.Helper()
	switch words[0] {
	case "offered":
		q, wanted, newer := a.Offered(now, words[1], m)
		switch {
		case wanted:
			return fmt.Sprintf("query q%d", q.Nonce)
		case newer:
			return "newer"
		}
		return "ignored"
	case "answered":
		if a.Passed(now, words[1], m) {
			return "newer"
		}
		return ""
	case "queried":
		answer, ok := a.Answer(now, m)
		if !ok {
			return "silent"
		}
		return fmt.Sprintf("answer q%d v%d %dms", answer.Nonce, answer.Version, answer.Age.Milliseconds())
	case "offer":
		offer, to := a.Offer(now, peers)
		if len(to) == 0 {
			return "none"
		}
		return fmt.Sprintf("v%d %dms to %d", offer.Version, offer.Age.Milliseconds(), len(to))
	case "pull":
		var nonces []string
		queries, to := a.Pull(now, peers)
		for i, q := range queries {
			nonces = append(nonces, fmt.Sprintf("q%d %s", q.Nonce, to[i].Name))
		}
		return strings.Join(nonces, " ")
	}
	t.Fatalf("unknown command %v", words)
	return ""
}

// FuzzMessage guards against a message of a peer that makes a proof look younger than the query that it answers.
func FuzzMessage(f *testing.F) {
	f.Add(int64(1), int64(1), int64(5))
	f.Add(int64(1), int64(1), int64(1)<<62)
	f.Fuzz(func(t *testing.T, version, era, age int64) {
		a := &Attester{Name: "node-1", Rand: zeroRand{}}
		a.Applied(0, 1, 1, true)
		q, to := a.Pull(time.Second, func() []Peer { return []Peer{{Name: "p"}} })
		m := Message{Kind: KindAnswer, Nonce: q[0].Nonce, Version: version, Sum: 1, Era: era, Age: time.Duration(age)}
		if m.Check() != nil {
			return
		}
		a.Passed(time.Second, to[0].Name, m)
		if got, proven := a.Age(2*time.Second, 1); proven && got < time.Second {
			t.Errorf("age %v of %+v", got, m)
		}
	})
}
