package parser

import (
	"fmt"
	"strings"
	"testing"

	"hornbeamcroft"
)

// plannedDocument returns a document of the planned size: 63 services in call chains of up to 27 levels, three request
// types and three objectives for each service, and a comment in every section but the platform section.
func plannedDocument() hornbeamcroft.StoredDocument {
	var b strings.Builder
	b.WriteString("[platform]\nowner = platform\n")
	const comment = "; Agreed with the teams of the calling services; see the notes of the last review.\n"
	for i := range 63 {
		name := fmt.Sprintf("harvest-service-%02d", i)
		fmt.Fprintf(&b, "[service %s]\nowner = team-%02d\n%sslots = 170\nconnections = 1100\nqueue-time = 100ms\nslow-start = 10s\nzone-delay = 1500us\n", name, i, comment)
		if i%27 != 26 && i != 62 {
			fmt.Fprintf(&b, "calls = harvest-service-%02d\n", i+1)
		}
		for _, request := range []string{"balance-check", "disbursement", "repayment"} {
			fmt.Fprintf(&b, "[request %s/%s]\nowner = team-%02d\n%simportance = high\nidempotent = no\ntimeout = 5s\nextra-attempts = 3\n", name, request, i, comment)
			fmt.Fprintf(&b, "[objective %s/%s]\nowner = team-%02d\n%sanswered = 99.9%%\nwithin = 2s\nwithin-share = 99%%\nperiod = 30d\n", name, request, i, comment)
		}
	}
	sections, err := Split([]byte(b.String()))
	if err != nil {
		panic(err)
	}
	for i := range sections {
		sections[i].Generation, sections[i].Writer = 58, "01a23f71-cdc5-7acb-8ac0-5548e4c978fb"
	}
	return hornbeamcroft.StoredDocument{Revision: 3700, Sections: sections}
}

// TestPlannedSize guards against a document of the planned size that does not parse or is too large for the store.
func TestPlannedSize(t *testing.T) {
	stored := plannedDocument()
	data, err := Encode(stored)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse(stored); err != nil {
		t.Fatal(err)
	}
	t.Logf("63 services, %d sections: %d bytes", len(stored.Sections), len(data))
	if len(data) > MaxDocument {
		t.Errorf("%d bytes, want at most %d", len(data), MaxDocument)
	}
}

func BenchmarkParse(b *testing.B) {
	stored := plannedDocument()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(stored); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	data, err := Encode(plannedDocument())
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
