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

// TestScripts runs the scenarios under testdata. The comment at the head of each states the required behaviour. Most
// also run with the mechanism that provides it disabled, to show that the scenario detects the failure.
func TestScripts(t *testing.T) {
	cmds := map[string]command{
		"cluster": cmdCluster, "run": cmdRun, "store": cmdStore, "loss": cmdLoss, "partition": cmdPartition,
		"heal": cmdPartition, "split": cmdSplit, "routed-never-stops": cmdRoutedNeverStops,
	}
	for verb, fn := range map[string]func(sim *simulation, n *node){
		"crash": func(_ *simulation, n *node) { n.up = false },
		"boot":  func(sim *simulation, n *node) { sim.start(n, sim.nodes[0].self.Address, sim.nodes[1].self.Address) },
		// Starts the node with the address of a peer that does not exist.
		"boot-alone": func(sim *simulation, n *node) { sim.start(n, "10.99.0.1:7101") },
		"pause":      func(_ *simulation, n *node) { n.paused = true },
		"resume":     (*simulation).resume,
		"drain": func(sim *simulation, n *node) {
			sim.send(n, n.tracker.Announce(sim.now, hornbeamcroft.MemberDraining, 0))
		},
	} {
		cmds[verb] = nodeCommand(fn)
	}
	for verb, fn := range map[string]func(sim *simulation, name string) bool{
		"gone":   func(sim *simulation, name string) bool { n, _ := sim.countRouting(name); return n == 0 },
		"routed": func(sim *simulation, name string) bool { n, all := sim.countRouting(name); return n == all },
		"agree":  func(sim *simulation, _ string) bool { return sim.rostersAgree() },
		"stored": func(sim *simulation, zone string) bool { return sim.storeMatches(zone) },
	} {
		cmds[verb] = waitCommand(fn)
	}
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: cmds,
		Setup: func(e *testscript.Env) error {
			e.Values["loop"] = new(*simulation)
			return nil
		},
	})
}

// scriptSimulation returns the simulation of the script.
func scriptSimulation(ts *testscript.TestScript) *simulation { return *ts.Value("loop").(**simulation) }

func duration(ts *testscript.TestScript, s string) time.Duration {
	d, err := time.ParseDuration(s)
	ts.Check(err)
	return d
}

// cmdCluster implements: cluster ZONES NODES [off=MECHANISM]... [store=down]. It starts NODES nodes in each zone and
// runs them for 10 s.
func cmdCluster(ts *testscript.TestScript, _ bool, args []string) {
	zones, _ := strconv.Atoi(args[0])
	perZone, _ := strconv.Atoi(args[1])
	var disabled Mechanisms
	mechanisms := map[string]*bool{
		"off=confirm": &disabled.Confirmation, "off=refute": &disabled.Refutation,
		"off=widen": &disabled.ReportWidening, "off=push": &disabled.Push,
		"off=zone-watch": &disabled.ZoneMonitoring, "off=pause-guard": &disabled.PauseDetection,
		"off=digest": &disabled.Digests, "off=repeat": &disabled.ProbeRepetition,
		"off=orphans": &disabled.OrphanProbes, "off=dead-probe": &disabled.DeadProbes,
	}
	down := false
	for _, a := range args[2:] {
		switch {
		case mechanisms[a] != nil:
			*mechanisms[a] = true
		case a == "store=down":
			down = true
		default:
			ts.Fatalf("unknown argument %s", a)
		}
	}
	sim := newSimulation(zones, perZone, disabled)
	sim.store.up = !down
	for _, n := range sim.nodes {
		sim.start(n, sim.nodes[0].self.Address, sim.nodes[1].self.Address)
	}
	sim.run(10 * time.Second)
	*ts.Value("loop").(**simulation) = sim
}

// cmdRun implements: run TIME.
func cmdRun(ts *testscript.TestScript, _ bool, args []string) {
	scriptSimulation(ts).run(duration(ts, args[0]))
}

// cmdStore implements: store up; any other argument makes the store unreachable.
func cmdStore(ts *testscript.TestScript, _ bool, args []string) {
	scriptSimulation(ts).store.up = args[0] == "up"
}

// cmdLoss implements: loss FROM SHARE and loss FROM>TO SHARE. FROM is a node or * for all nodes; TO is a node or
// monitor1, the first monitor of FROM.
func cmdLoss(ts *testscript.TestScript, _ bool, args []string) {
	sim := scriptSimulation(ts)
	share, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	if from, ok := strings.CutSuffix(args[0], ">monitor1"); ok {
		args[0] = from + ">" + sim.find("monitors:" + from)[0].self.Name
	}
	sim.lossRate[args[0]] = share
}

// cmdPartition implements: partition regions, which separates the regions, and heal, which ends any partition or split.
func cmdPartition(ts *testscript.TestScript, _ bool, args []string) {
	sim := scriptSimulation(ts)
	sim.disconnected = nil
	if len(args) > 0 {
		sim.disconnected = func(a, b *node) bool { return region(a.self.Zone) != region(b.self.Zone) }
	}
}

// cmdSplit implements: split ZONE. It separates the members with odd numbers from those with even numbers.
func cmdSplit(ts *testscript.TestScript, _ bool, args []string) {
	side := func(n *node) bool { return (n.self.Name[len(n.self.Name)-1]-'0')%2 == 0 }
	scriptSimulation(ts).disconnected = func(a, b *node) bool {
		return a.self.Zone == args[0] && b.self.Zone == args[0] && side(a) != side(b)
	}
}

// nodeCommand returns a command that calls fn for each node that its arguments select, see simulation.find.
func nodeCommand(fn func(sim *simulation, n *node)) command {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		sim := scriptSimulation(ts)
		var nodes []*node
		for _, a := range args {
			nodes = append(nodes, sim.find(a)...)
		}
		for _, n := range nodes {
			fn(sim, n)
		}
	}
}

// waitCommand returns a command with the arguments TIME [NAME] that waits until fn returns true. It fails if fn does
// not do so within TIME or, if the command is negated with "!", if it does.
func waitCommand(fn func(sim *simulation, name string) bool) command {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		sim := scriptSimulation(ts)
		name := strings.Join(args[1:], "")
		start, end := sim.now, sim.now+duration(ts, args[0])
		for sim.now < end && !fn(sim, name) {
			sim.run(time.Millisecond)
		}
		ok := fn(sim, name)
		ts.Logf("condition met is %v after %s", ok, sim.now-start)
		if ok == neg {
			ts.Fatalf("within %s: condition met is %v", args[0], ok)
		}
	}
}

// cmdRoutedNeverStops implements: routed-never-stops TIME NAME. It fails if any node stops sending new work to the
// member within TIME.
func cmdRoutedNeverStops(ts *testscript.TestScript, neg bool, args []string) {
	sim := scriptSimulation(ts)
	ok := true
	for end := sim.now + duration(ts, args[0]); sim.now < end; sim.run(10 * time.Millisecond) {
		n, all := sim.countRouting(args[1])
		ok = ok && n == all
	}
	if ok == neg {
		ts.Fatalf("all nodes kept sending work to the member: %v", ok)
	}
}
