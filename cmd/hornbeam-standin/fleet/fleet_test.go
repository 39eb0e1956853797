package fleet

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/cmd/hornbeam-standin/upstream"
	"hornbeamcroft/loader"
	"hornbeamcroft/parser"
)

// TestGeneratedSettings guards against a generated document or settings file that the programs reject, or that lacks a value of
// the deployment.
func TestGeneratedSettings(t *testing.T) {
	for _, d := range []Deployment{Demo(), Regie(), Omuramba()} {
		t.Run(d.Name, func(t *testing.T) {
			is := is.New(t)
			d.Policy = PolicyLimit
			f := Fleet{Deployment: d, Dir: t.TempDir()}
			is.NoErr(f.Prepare())
			text, err := os.ReadFile(f.documentFile())
			is.NoErr(err)
			sections, err := parser.Split(text)
			is.NoErr(err)
			doc, err := parser.Parse(hornbeamcroft.StoredDocument{Revision: 1, Sections: sections})
			is.NoErr(err)
			for target, idempotent := range d.Idempotent() {
				is.Equal(doc.RequestTypes[target].Idempotent, idempotent)
			}
			zones := make(map[string]bool)
			for _, m := range f.Members {
				zones[m.Zone] = true
				text, err := os.ReadFile(m.nodeFile)
				is.NoErr(err)
				settings, err := loader.Load(text)
				is.NoErr(err)
				is.Equal(settings.Node.Upstream, m.Upstream)
				is.Equal(settings.Policy.Admission, "fixed")
				_, err = upstream.Load(m.upstreamFile)
				is.NoErr(err)
			}
			is.Equal(len(zones), len(d.Zones))
		})
	}
}

// TestPorts guards against two fleets of one test that get the same port. Nothing listens on a port before its process starts or
// while the process restarts, so that a check whether the port is free does not find the conflict.
func TestPorts(t *testing.T) {
	is := is.New(t)
	taken := make(map[string]bool)
	for range 20 {
		f := Fleet{Deployment: Regie(), Dir: t.TempDir()}
		is.NoErr(f.Prepare())
		for _, m := range f.Members {
			for _, address := range []string{m.Listen, m.Operators, m.Upstream, m.Control} {
				is.True(!taken[address])
				taken[address] = true
			}
		}
	}
}
