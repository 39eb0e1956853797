package attester

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// readers is the number of readers in three zones. readerCalls is the greatest number of calls that fit into modelTime, at its
	// begin as well, if each makes one in 800 ms.
	readers     = 6
	readerCalls = readers * (int(modelTime/(800*time.Millisecond)) + 1)
	// maxMessages bounds the messages a second that a node sends: 16 links to one service, each used twice a second.
	maxMessages = 2 * linksPerService
	modelTime   = 30 * time.Second
)

// forFleets runs a test with fleets of both sizes, without calls, and with calls to one service and to six.
func forFleets(t *testing.T, test func(t *testing.T, m *model)) {
	for _, n := range []int{89, 300} {
		for _, services := range []int{0, 1, 6} {
			t.Run(fmt.Sprint(n, "/", services), func(t *testing.T) { test(t, newModel(t, n, services, uint64(services))) })
		}
	}
}

// TestCalm guards against nodes whose proof becomes older than 2 s, and against calls to the store by others than the readers.
func TestCalm(t *testing.T) {
	forFleets(t, func(t *testing.T, m *model) {
		is := is.New(t)
		m.run(m.checkFrom)
		m.calls, m.messages = 0, 0
		m.run(m.checkFrom + modelTime)
		messages := m.report(modelTime)
		is.True(m.calls <= readerCalls)
		is.True(messages <= maxMessages)
	})
}

// TestThirdRefused guards against nodes without a proof while the store refuses a third of the nodes, all readers among them.
func TestThirdRefused(t *testing.T) {
	forFleets(t, func(t *testing.T, m *model) {
		is := is.New(t)
		m.run(m.checkFrom)
		refused := 0
		for _, name := range m.names {
			if n := m.nodes[name]; n.Role() == RoleReader {
				n.refused = true
				refused++
			}
		}
		for _, name := range m.names {
			if n := m.nodes[name]; !n.refused && refused < len(m.names)/3 {
				n.refused = true
				refused++
			}
		}
		m.calls, m.messages = 0, 0
		m.run(m.checkFrom + modelTime)
		messages := m.report(modelTime)
		is.True(m.calls <= 2*readerCalls)
		is.True(messages <= maxMessages)
	})
}

// TestChanges guards against a proof of a configuration when a later one was stored, and against nodes that lose their proof at a
// change: the configuration changes every 2 s while the store refuses a third of the nodes.
func TestChanges(t *testing.T) {
	forFleets(t, func(_ *testing.T, m *model) {
		for i, name := range m.names {
			m.nodes[name].refused = i%3 == 0
		}
		for m.now < modelTime {
			m.run(m.now + 2*time.Second)
			m.change()
		}
		m.report(modelTime)
	})
}

// TestCut guards against a node that is cut off, or frozen while messages wait in its sockets, and counts a proof as younger than the cut.
func TestCut(t *testing.T) {
	const cutAt, frozenFor = 5 * time.Second, 10 * time.Second
	forFleets(t, func(t *testing.T, m *model) {
		m.run(cutAt)
		for i, name := range m.names {
			switch i % 10 {
			case 0, 1, 2:
				m.nodes[name].cut = true
			case 3:
				m.nodes[name].frozenUntil = cutAt + frozenFor
			}
		}
		m.run(cutAt + time.Second)
		m.change() // check holds the proofs of nodes that resume against it
		m.run(cutAt + frozenFor + 5*time.Millisecond)
		for _, name := range m.names {
			n := m.nodes[name]
			age, proven := n.Age(m.clock(n), n.version)
			if n.cut && proven && age < m.now-cutAt {
				t.Fatalf("%s was cut off %v ago and has a proof of age %v", name, m.now-cutAt, age)
			}
		}
		m.run(cutAt + frozenFor + 3*time.Second)
		m.report(m.now)
	})
}
