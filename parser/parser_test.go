package parser

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// sampleText is a valid document with two services, a request type and an objective.
const sampleText = `; preamble
[platform]
owner = platform
max-ejected = 25%

[service desk]
owner = desk
slots = 170
connections = 1100   ; per upstream
calls = cash

[service cash]
owner = cash
slots = 15
connections = 190

[request cash/deposit]
owner = cash
importance = high
timeout = 2s

[objective cash/deposit]
owner = cash
answered = 99.9%
within = 1s
within-share = 0.99
`

// TestParse guards against a key that is ignored, a wrong unit or a wrong default.
func TestParse(t *testing.T) {
	is := is.New(t)
	doc, err := ParseText([]byte(sampleText))
	is.NoErr(err)
	is.Equal(doc.Platform.MaxEjected, 0.25)
	is.Equal(doc.Platform.KeyWindow, 10*time.Minute)
	is.Equal(doc.Services["desk"].Calls, []string{"cash"})
	is.Equal(doc.Services["cash"].Connections, 190)
	r := doc.RequestTypes["cash/deposit"]
	is.Equal(r.Importance, hornbeamcroft.ImportanceHigh)
	is.Equal(r.Idempotent, false) // the safe default
	is.Equal(r.ExtraAttempts, DefaultExtraAttempts)
	is.Equal(doc.Objectives["cash/deposit"].Period, 720*time.Hour)
}

// TestSplitJoin guards against sections that Join and Split change.
func TestSplitJoin(t *testing.T) {
	is := is.New(t)
	sections, err := Split([]byte(sampleText))
	is.NoErr(err)
	again, err := Split(Join(sections))
	is.NoErr(err)
	is.Equal(sections, again)
}

// TestProblems guards against an invalid document that is accepted or reported with a wrong text. Each case replaces
// old in sampleText by replacement; the error must contain want.
func TestProblems(t *testing.T) {
	tests := []struct{ name, old, replacement, want string }{
		{"unknown key", "slots = 15", "slots = 15\nslot = 3", "[service cash] slot = 3: unknown key; must be one of owner, slots"},
		{"missing unit", "timeout = 2s", "timeout = 2", "[request cash/deposit] timeout = 2: must be a duration from 1ms to 10m"},
		{"wrong unit", "slots = 15", "slots = 15s", "[service cash] slots = 15s: must be an integer"},
		{"missing key", "slots = 15", "", "[service cash] slots = (missing): required"},
		{"missing owner", "owner = cash\nslots", "slots", "[service cash] owner = (missing)"},
		{"unknown section", "[platform]", "[plattform]", "[plattform]: unknown section; must be one of [platform]"},
		{"missing service", "calls = cash", "calls = cesh", "[service desk] calls = cesh: missing reference"},
		{"missing request", "[objective cash/deposit]", "[objective cash/deposits]", "missing reference: the document has no [request cash/deposits]"},
		{"cycle", "connections = 190", "connections = 190\ncalls = desk", "call cycle cash -> desk -> cash"},
		{"connections below slots", "connections = 190", "connections = 14", "contradiction: must be at least the 15 slots"},
		{"within above timeout", "within = 1s", "within = 3s", "contradiction: must be at most the request's timeout of 2s"},
		{"within alone", "within-share = 0.99", "", "within and within-share must be set together"},
		{"key twice", "slots = 15", "slots = 15\nslots = 16", "slots = 15, 16: the key appears more than once"},
		{"section twice", "[service cash]", "[service desk]", "the section appears more than once"},
		{"key outside", "; preamble", "slots = 1", "keys are allowed only inside a section"},
		{"too deep", "owner = platform", "owner = platform\nmax-depth = 1", "contradiction: 2 levels of calls"},
		{"window below skew", "owner = platform", "owner = platform\nkey-window = 10s\nclock-skew = 5s", "more than twice the clock-skew of 5s"},
		{"share of 1", "99.9%", "100%", "must be a share above 0 and below 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(sampleText, tt.old))
			_, err := ParseText([]byte(strings.Replace(sampleText, tt.old, tt.replacement, 1)))
			is.True(err != nil)
			if !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %q, want %q", err, tt.want)
			}
		})
	}
}

// TestAllProblemsAtOnce guards against a report that stops at the first problem.
func TestAllProblemsAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := ParseText([]byte("[service a]\nowner = x\nslots = 0\nconnections = many\ncalls = b\n[strange]\nowner = x\n"))
	is.Equal(len(AsProblems(err)), 4)
}

// TestGenerations guards against generations in a file from hornbeamctl show that are lost, or whose comments stay in
// the text.
func TestGenerations(t *testing.T) {
	is := is.New(t)
	sections, err := Split([]byte(sampleText))
	is.NoErr(err)
	for i := range sections {
		sections[i].Generation = uint64(i + 1)
	}
	marked, err := Split(JoinWithGenerations(sections))
	is.NoErr(err)
	is.Equal(ExtractGenerations(marked), sections)
}

// TestExamples guards against example documents that the parser refuses.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatal("no example documents in ../examples:", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseText(text); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}
