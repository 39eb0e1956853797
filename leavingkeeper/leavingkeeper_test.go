package leavingkeeper

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/faker"
)

const prefix = "p/"

// player plays one scenario of testdata/keeper.txt.
type player struct {
	clock     *faker.Clock
	store     *faker.Store
	keeper    *Keeper
	read, odd int
}

func newPlayer() *player {
	p := &player{clock: &faker.Clock{}}
	p.store = faker.NewStore(p.clock)
	p.restart()
	return p
}

// restart replaces the keeper as a new process of the node does.
func (p *player) restart() {
	p.keeper = &Keeper{
		Store: p.store, Urgent: p.store, Prefix: prefix, Name: "a",
		OnRead: func(members []hornbeamcroft.Member) { p.read = len(members) }, OnKept: func(hornbeamcroft.Member) {},
		OnMalformed: func(hornbeamcroft.Entry, error) { p.odd++ },
	}
}

// play carries out a step and returns what it gives.
func (p *player) play(t *testing.T, step string) string {
	verb, rest, _ := strings.Cut(step, " ")
	switch verb {
	case "call":
		return p.call(t)
	case "keep":
		return p.keep(rest)
	case "stored":
		return p.stored(t)
	case "counts":
		c := p.store.Counts()
		return fmt.Sprintf("get %d, grant %d, list %d, txn %d", c["get"], c["grant"], c["list"], c["txn"])
	case "down", "up":
		p.store.SetFaults(faker.Faults{Down: verb == "down"})
	case "lose-answers":
		n, _ := strconv.Atoi(rest)
		p.store.SetFaults(faker.Faults{LoseAnswers: n})
	case "lose-requests":
		n, _ := strconv.Atoi(rest)
		p.store.SetFaults(faker.Faults{LoseRequests: n})
	case "advance":
		d, err := time.ParseDuration(rest)
		is.New(t).NoErr(err)
		p.clock.Advance(d)
	case "save":
		p.store.Save("copy")
	case "restore":
		is.New(t).NoErr(p.store.Restore("copy"))
		p.keeper.Restored()
	case "restart":
		p.restart()
	case "odd":
		p.writeOdd(t)
	default:
		t.Fatalf("unknown step %q", step)
	}
	return ""
}

// call makes the calls that are due.
func (p *player) call(t *testing.T) string {
	p.read, p.odd = -1, 0
	if err := p.keeper.makeDueCalls(t.Context()); err != nil {
		return "failed"
	}
	result := "ok"
	if p.read >= 0 {
		result += fmt.Sprintf(", read %d", p.read)
	}
	if p.odd > 0 {
		result += fmt.Sprintf(", odd %d", p.odd)
	}
	return result
}

// keep asks for the leaving of a start to be kept.
func (p *player) keep(start string) string {
	instance, born, _ := strings.Cut(start, " ")
	n, _ := strconv.ParseInt(born, 10, 64)
	if p.keeper.Keep(leaving("a", instance, n)) {
		return "held"
	}
	return "not held"
}

// stored returns the start that the store holds.
func (p *player) stored(t *testing.T) string {
	e, err := p.store.Get(t.Context(), prefix+"a")
	is.New(t).NoErr(err)
	if e.ModRevision == 0 {
		return "none"
	}
	m, err := decode(e, prefix)
	is.New(t).NoErr(err)
	return fmt.Sprintf("%s %d", m.Instance, m.Born)
}

// writeOdd writes entries that name no start that leaves: the key of the node itself, one that names another node, and one that serves.
func (p *player) writeOdd(t *testing.T) {
	serving := leaving("c", "i", 1)
	serving.State = hornbeamcroft.MemberServing
	for key, m := range map[string]any{"a": "text", "b": leaving("d", "i", 1), "c": serving} {
		value, err := cbor.Marshal(m)
		is.New(t).NoErr(err)
		_, err = p.store.Txn(t.Context(), nil, []hornbeamcroft.Put{{Key: prefix + key, Value: value}})
		is.New(t).NoErr(err)
	}
}

// leaving returns the record of a node whose upstream leaves.
func leaving(name, instance string, born int64) hornbeamcroft.Member {
	return hornbeamcroft.Member{
		Name: name, Service: "s", Address: "127.0.0.1:1", State: hornbeamcroft.MemberLeft, Instance: instance, Born: born,
	}
}

// TestKeeper guards against a leaving that counts as held although the store does not hold it, and against one that is lost in the store.
func TestKeeper(t *testing.T) {
	text, err := os.ReadFile("testdata/keeper.txt")
	is.New(t).NoErr(err)
	for _, block := range strings.Split(string(text), "\n== ")[1:] {
		name, steps, _ := strings.Cut(block, "\n")
		t.Run(name, func(t *testing.T) {
			p := newPlayer()
			for _, line := range strings.Split(strings.TrimSpace(steps), "\n") {
				step, want, checked := strings.Cut(line, " -> ")
				if got := p.play(t, step); checked && got != want {
					t.Errorf("%s: %s, want %s", step, got, want)
				}
			}
		})
	}
}
