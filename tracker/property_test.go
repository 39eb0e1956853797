package tracker

import (
	"flag"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"hornbeamcroft"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The seed is fixed, so that a failure in CI can be reproduced.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func drawMember(t *rapid.T) hornbeamcroft.Member {
	return hornbeamcroft.Member{
		Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), Zone: "z", Address: "10.0.0.1:1",
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"), Sequence: rapid.Uint64Range(0, 3).Draw(t, "sequence"),
		State: hornbeamcroft.MemberState(rapid.IntRange(0, 4).Draw(t, "state")),
	}
}

// TestMergeOrder guards against a roster that depends on the order in which records arrive or on how often they arrive.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOf(rapid.Custom(drawMember)).Draw(t, "records")
		mixed := rapid.Permutation(append(records, records...)).Draw(t, "mixed")
		self := hornbeamcroft.Member{Name: "self", Zone: "z", Address: "10.0.0.2:1", Incarnation: 1}
		x, _ := New(0, Config{Self: self})
		y, _ := New(0, Config{Self: self})
		x.Receive(0, "a", RosterChange{Members: records})
		for _, m := range mixed {
			y.Receive(0, "b", RosterChange{Members: []hornbeamcroft.Member{m}})
		}
		is := is.NewRelaxed(t)
		is.Equal(x.Members(), y.Members())
		is.Equal(x.hash, y.hash)
	})
}

// TestConverges guards against sequences of crashes, starts, pauses, message losses and partitions after which rosters
// differ for longer than maxSettleTime, a live member gets no work, or a dead member does.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(5, 4, Mechanisms{}) // zone 5 is the only zone of the second region
		peers := []string{sim.nodes[0].self.Address, sim.nodes[7].self.Address, sim.nodes[18].self.Address}
		sim.store.up = false
		for _, n := range sim.nodes {
			sim.start(n, peers...)
		}
		sim.run(2 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			// The first node stays up, so that started nodes find a peer.
			n := sim.nodes[rapid.IntRange(1, len(sim.nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				n.up = false
			case 1:
				sim.start(n, peers...)
			case 2:
				n.paused = true
			case 3:
				sim.resume(n)
			case 4:
				sim.lossRate["*"] = rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(t, "loss")
			case 5: // a partition within every zone
				sim.disconnected = func(a, b *node) bool { return a.self.Name[4]%2 != b.self.Name[4]%2 }
			default:
				partitioned := rapid.Bool().Draw(t, "cut")
				sim.disconnected = func(a, b *node) bool {
					return partitioned && region(a.self.Zone) != region(b.self.Zone)
				}
			}
			sim.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		sim.disconnected, sim.lossRate["*"] = nil, 0
		for _, n := range sim.nodes {
			sim.resume(n)
		}
		for start := sim.now; !sim.converged(); sim.run(100 * time.Millisecond) {
			if sim.now-start > maxSettleTime {
				t.Fatalf("members did not converge within %s", maxSettleTime)
			}
		}
	})
}

// maxSettleTime is the longest time that the members may take to converge after the last failure.
const maxSettleTime = 8 * time.Second

// converged reports whether all live members have the same roster and send work to each other and to no other member.
func (sim *simulation) converged() bool {
	for _, n := range sim.nodes {
		routing, all := sim.countRouting(n.self.Name)
		if (n.up && routing != all) || (!n.up && routing > 0) {
			return false
		}
	}
	return sim.rostersAgree()
}

// TestOwnRecord guards against two processes under one name that keep raising their incarnations above each other's,
// and against a node that keeps an incarnation below that of an earlier start because the clock of its host went back.
func TestOwnRecord(t *testing.T) {
	is := is.New(t)
	self := hornbeamcroft.Member{Name: "self", Zone: "z", Address: "10.0.0.2:1", Incarnation: 5}
	clockSetBack, _ := New(0, Config{Self: self})
	newer := self
	newer.Incarnation = 9
	clockSetBack.Receive(0, "a", RosterChange{Members: []hornbeamcroft.Member{newer}})
	is.Equal(clockSetBack.Self().Incarnation, uint64(10))
	replaced, _ := New(0, Config{Self: self})
	newer.Address = "10.0.0.3:1"
	replaced.Receive(0, "a", RosterChange{Members: []hornbeamcroft.Member{newer}})
	is.True(replaced.Superseded())
	newer.State = hornbeamcroft.MemberDead
	replacing, _ := New(0, Config{Self: self})
	replacing.Receive(0, "a", RosterChange{Members: []hornbeamcroft.Member{newer}})
	is.True(!replacing.Superseded())
	is.Equal(replacing.Self().Incarnation, uint64(10))
}

// TestFrameSize guards against messages that pass Check but do not fit into a frame of 64 KiB.
func TestFrameSize(t *testing.T) {
	is := is.New(t)
	name := strings.Repeat("n", maxNameLength)
	m := hornbeamcroft.Member{
		Name: name, Service: name, Zone: name, Address: "[2001:0db8:0000:0000:0000:0000:0000:0001]:65535",
		Incarnation: math.MaxUint64, Sequence: math.MaxUint64, State: hornbeamcroft.MemberDead, SinceStart: math.MaxUint32,
	}
	v := RecordVersion{NameHash: math.MaxUint64, Incarnation: math.MaxUint64, Sequence: math.MaxUint64, State: m.State}
	lost := slices.Repeat([]string{name}, maxZones)
	for _, m := range []Message{
		RosterChange{Members: slices.Repeat([]hornbeamcroft.Member{m}, maxMembersPerChange)},
		RosterDigest{Step: StepVersions, Zone: name, Versions: slices.Repeat([]RecordVersion{v}, maxVersions)},
		RosterDigest{Roster: v.NameHash, Document: v.NameHash, Epochs: v.NameHash, Lost: lost, ReportedLost: lost},
		RosterDigest{Step: StepZones, Zones: slices.Repeat([]ZoneDigest{{Zone: name, Hash: v.NameHash}}, maxZones)},
	} {
		is.NoErr(m.Check())
		b, err := cbor.Marshal(m)
		is.NoErr(err)
		is.True(len(b) < 64<<10)
	}
}

// TestAlone guards against a node that finds no other member and reads the store more often than every
// aloneReadInterval.
func TestAlone(t *testing.T) {
	is := is.New(t)
	self := hornbeamcroft.Member{Name: "self", Zone: "z", Address: "10.0.0.2:1", Incarnation: 5}
	tr, err := New(0, Config{Self: self})
	is.NoErr(err)
	reads := 0
	for now := time.Duration(0); now < 30*time.Second; now += TickInterval {
		if tr.NextStoreRequest(now).Action == StoreList {
			reads++
			tr.OnStoreResult(now, StoreResult{Action: StoreList})
		}
	}
	is.Equal(reads, 10)
}

// FuzzReceive guards against messages from peers that pass Check and then crash the tracker or make it send messages
// that fail Check.
func FuzzReceive(f *testing.F) {
	self := hornbeamcroft.Member{Name: "self", Zone: "z", Address: "10.0.0.2:1", Incarnation: 1}
	other := hornbeamcroft.Member{Name: "a", Zone: "z", Address: "10.0.0.1:1", Incarnation: 1}
	for kind, m := range []Message{
		Heartbeat{Incarnation: 1, Purpose: PurposeProbe},
		Suspicion{Name: "a"},
		RosterChange{Members: []hornbeamcroft.Member{other, self}},
		RosterDigest{Step: StepZones, Zones: []ZoneDigest{{Zone: "y", Hash: 1}}},
		RosterDigest{Step: StepJoin, Self: &other},
		RosterDigest{Step: StepVersions, Zone: "z", Versions: []RecordVersion{{NameHash: 1}}},
		RosterDigest{Step: StepRequest, Requested: []uint64{1}},
	} {
		b, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(min(kind, 3)), b)
	}
	f.Fuzz(func(t *testing.T, kind uint8, b []byte) {
		tr, err := New(0, Config{Self: self})
		if err != nil {
			t.Fatal(err)
		}
		tr.Receive(0, "a", RosterChange{Members: []hornbeamcroft.Member{other}})
		m, err := decode(kind, b)
		if err != nil || m.Check() != nil {
			return
		}
		for _, o := range tr.Receive(1, "a", m) {
			if err := o.Message.Check(); err != nil {
				t.Errorf("answer is not well formed: %v", err)
			}
		}
	})
}

func decode(kind uint8, b []byte) (m Message, err error) {
	switch kind % 4 {
	case 0:
		m, err = decodeAs[Heartbeat](b)
	case 1:
		m, err = decodeAs[Suspicion](b)
	case 2:
		m, err = decodeAs[RosterChange](b)
	default:
		m, err = decodeAs[RosterDigest](b)
	}
	return m, err
}

func decodeAs[M Message](b []byte) (m M, err error) {
	err = cbor.Unmarshal(b, &m)
	return m, err
}
