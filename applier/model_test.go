package applier_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"hornbeamcroft"
	"hornbeamcroft/distributor"
	"hornbeamcroft/editor"
	"hornbeamcroft/faker"
)

// model is a world that also keeps the generations of the accepted edits.
type model struct {
	*world
	t *rapid.T
	// accepted is the highest accepted generation of each section.
	accepted map[string]uint64
	edits    int
}

var modelNodes = []string{"a", "b", "c"}

// randomNode returns the name of a random node.
func (m *model) randomNode() string { return rapid.SampledFrom(modelNodes).Draw(m.t, "node") }

// edit makes a random edit of a section. If it is accepted, a node reads it before the next step.
func (m *model) edit() {
	m.edits++
	name := rapid.SampledFrom([]string{"service x", "service y", "service z"}).Draw(m.t, "section")
	text := fmt.Sprintf("owner = any\nslots = %d\nconnections = 9999", m.edits)
	faults := faker.Faults{}
	switch rapid.IntRange(0, 3).Draw(m.t, "fault") {
	case 0:
		faults.LoseAnswers = 1
	case 1:
		faults.LoseRequests = 1
	}
	m.SetFaults(faults)
	edit := editor.Edit{Owner: "any", Writer: fmt.Sprintf("w%05d", m.edits)}
	if rapid.IntRange(0, 3).Draw(m.t, "remove") == 0 {
		edit.Remove = []string{name}
	} else {
		edit.Write = []hornbeamcroft.Section{{Name: name, Owner: "any", Text: text}}
	}
	r := m.apply(edit, false)
	m.SetFaults(faker.Faults{})
	switch r.Outcome() {
	case editor.Accepted:
		for _, s := range m.current().Sections {
			if s.Name == name {
				m.accepted[name] = max(m.accepted[name], s.Generation)
			}
		}
		m.read(m.randomNode())
	case editor.Unknown:
		m.t.Fatalf("the outcome is unknown although the store answers: %v", r.Err)
	}
}

// step makes a random step.
func (m *model) step() {
	switch rapid.IntRange(0, 7).Draw(m.t, "step") {
	case 0, 1:
		m.edit()
	case 2:
		m.watch(m.randomNode(), rapid.IntRange(1, 3).Draw(m.t, "events"))
	case 3:
		n := m.nodes[m.randomNode()]
		n.cut = !n.cut
	case 4:
		m.Save("copy")
	case 5:
		_ = m.Restore("copy") // fails if there is no copy yet
	case 6:
		m.digests()
	case 7:
		m.read(m.randomNode())
	}
}

// TestAcceptedEditsSurvive guards against an accepted edit that is lost, under any order of edits, lost answers and
// requests, lagging watches, partitions, and restores of the store from older copies, as long as one node that received
// the edit runs. Once all nodes are connected again, they and the store must hold the same document, in which no
// section is older than its last accepted edit.
func TestAcceptedEditsSurvive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkSurvival(t, mechanisms{}) })
}

// checkSurvival runs random steps without the mechanisms in off, and checks that no accepted edit is lost.
func checkSurvival(t *rapid.T, off mechanisms) {
	m := &model{world: newWorld(off), t: t, accepted: map[string]uint64{}}
	for _, name := range modelNodes {
		m.start(name)
	}
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		m.step()
	}
	for _, name := range modelNodes {
		m.nodes[name].cut = false
	}
	for range 4 {
		for _, name := range modelNodes {
			m.read(name)
		}
		m.digests()
	}
	want := distributor.HashOf(m.current())
	for _, name := range modelNodes {
		if m.nodes[name].Digest().Hash != want && m.current().Revision != 0 {
			t.Fatalf("node %s has revision %d, the store has %d", name, m.nodes[name].Digest().Revision, m.current().Revision)
		}
	}
	for _, s := range m.current().Sections {
		if s.Generation < m.accepted[s.Name] {
			t.Fatalf("%s has generation %d, but generation %d was accepted", s.Name, s.Generation, m.accepted[s.Name])
		}
		delete(m.accepted, s.Name)
	}
	if len(m.accepted) > 0 {
		t.Fatalf("accepted sections are missing: %v", m.accepted)
	}
}
