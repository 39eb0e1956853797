package tracker

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"hornbeamcroft"

	"github.com/rogpeppe/go-internal/testscript"
)

type command = func(ts *testscript.TestScript, neg bool, args []string)

// TestScripts runs the scenarios under testdata. Each guards against the failure in its first line and shows, with a
// mechanism switched off, that it would notice.
func TestScripts(t *testing.T) {
	cmds := map[string]command{
		"cluster": cmdCluster, "run": cmdRun, "store": cmdStore, "loss": cmdLoss, "partition": cmdPartition,
		"heal": cmdPartition, "split": cmdSplit, "routed-never-stops": cmdNeverGone,
	}
	for verb, fn := range map[string]func(l *loop, n *node){
		"crash": func(_ *loop, n *node) { n.up = false },
		"boot":  func(l *loop, n *node) { l.boot(n, l.nodes[0].self.Address, l.nodes[1].self.Address) },
		// Starts with the address of a peer that does not exist.
		"boot-alone": func(l *loop, n *node) { l.boot(n, "10.99.0.1:7101") },
		"pause":      func(_ *loop, n *node) { n.paused = true },
		"resume":     (*loop).resume,
		"drain": func(l *loop, n *node) {
			l.send(n, n.t.Announce(l.now, hornbeamcroft.MemberDraining, 0))
		},
	} {
		cmds[verb] = onNodes(fn)
	}
	for verb, fn := range map[string]func(l *loop, name string) bool{
		"gone":   func(l *loop, name string) bool { n, _ := l.routing(name); return n == 0 },
		"routed": func(l *loop, name string) bool { n, all := l.routing(name); return n == all },
		"agree":  func(l *loop, _ string) bool { return l.agree() },
		"stored": func(l *loop, zone string) bool { return l.stored(zone) },
	} {
		cmds[verb] = within(fn)
	}
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: cmds,
		Setup: func(e *testscript.Env) error {
			e.Values["loop"] = new(*loop)
			return nil
		},
	})
}

func scriptLoop(ts *testscript.TestScript) *loop { return *ts.Value("loop").(**loop) }

func duration(ts *testscript.TestScript, s string) time.Duration {
	d, err := time.ParseDuration(s)
	ts.Check(err)
	return d
}

// cluster ZONES NODES [off=SWITCH]... [store=down]
func cmdCluster(ts *testscript.TestScript, _ bool, args []string) {
	zones, _ := strconv.Atoi(args[0])
	perZone, _ := strconv.Atoi(args[1])
	var off Switches
	switches := map[string]*bool{
		"off=confirm": &off.Confirm, "off=refute": &off.Refute, "off=widen": &off.Widen, "off=push": &off.Push,
		"off=zone-watch": &off.ZoneWatch, "off=pause-guard": &off.PauseGuard, "off=digest": &off.Digest,
		"off=repeat": &off.Repeat, "off=orphans": &off.Orphans,
		"off=dead-probe": &off.DeadProbe,
	}
	down := false
	for _, a := range args[2:] {
		switch {
		case switches[a] != nil:
			*switches[a] = true
		case a == "store=down":
			down = true
		default:
			ts.Fatalf("unknown argument %s", a)
		}
	}
	l := newLoop(zones, perZone, off)
	l.store.up = !down
	for _, n := range l.nodes {
		l.boot(n, l.nodes[0].self.Address, l.nodes[1].self.Address)
	}
	l.run(10 * time.Second)
	*ts.Value("loop").(**loop) = l
}

func cmdRun(ts *testscript.TestScript, _ bool, args []string) {
	scriptLoop(ts).run(duration(ts, args[0]))
}

func cmdStore(ts *testscript.TestScript, _ bool, args []string) {
	scriptLoop(ts).store.up = args[0] == "up"
}

// loss FROM SHARE or loss FROM>TO SHARE; FROM may be a star, TO may be monitor1.
func cmdLoss(ts *testscript.TestScript, _ bool, args []string) {
	l := scriptLoop(ts)
	share, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	if from, ok := strings.CutSuffix(args[0], ">monitor1"); ok {
		args[0] = from + ">" + l.find("monitors:" + from)[0].self.Name
	}
	l.loss[args[0]] = share
}

// partition separates the regions; heal ends any partition or split.
func cmdPartition(ts *testscript.TestScript, _ bool, args []string) {
	l := scriptLoop(ts)
	l.cut = nil
	if len(args) > 0 {
		l.cut = func(a, b *node) bool { return region(a.self.Zone) != region(b.self.Zone) }
	}
}

// split ZONE cuts the members with odd numbers from those with even ones.
func cmdSplit(ts *testscript.TestScript, _ bool, args []string) {
	side := func(n *node) bool { return (n.self.Name[len(n.self.Name)-1]-'0')%2 == 0 }
	scriptLoop(ts).cut = func(a, b *node) bool {
		return a.self.Zone == args[0] && b.self.Zone == args[0] && side(a) != side(b)
	}
}

// onNodes makes a command that acts on each named node.
func onNodes(fn func(l *loop, n *node)) command {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		l := scriptLoop(ts)
		var nodes []*node
		for _, a := range args {
			nodes = append(nodes, l.find(a)...)
		}
		for _, n := range nodes {
			fn(l, n)
		}
	}
}

// within makes a command TIME [NAME] that waits until the condition holds; with "!", it must not hold in that time.
func within(fn func(l *loop, name string) bool) command {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		l := scriptLoop(ts)
		name := strings.Join(args[1:], "")
		start, end := l.now, l.now+duration(ts, args[0])
		for l.now < end && !fn(l, name) {
			l.run(time.Millisecond)
		}
		ok := fn(l, name)
		ts.Logf("%v after %s", ok, l.now-start)
		if ok == neg {
			ts.Fatalf("within %s: %v", args[0], ok)
		}
	}
}

// routed-never-stops TIME NAME: no node takes the member out of service in that time.
func cmdNeverGone(ts *testscript.TestScript, neg bool, args []string) {
	l := scriptLoop(ts)
	ok := true
	for end := l.now + duration(ts, args[0]); l.now < end; l.run(10 * time.Millisecond) {
		n, all := l.routing(args[1])
		ok = ok && n == all
	}
	if ok == neg {
		ts.Fatalf("stayed in service everywhere: %v", ok)
	}
}
