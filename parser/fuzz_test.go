package parser

import (
	"fmt"
	"strings"
	"testing"

	"hornbeamcroft"
)

// FuzzParse guards against a panic on any text, a document that Join and Split change, and a problem that does not
// state its section or what is allowed.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		sampleText, "", "[", "[]", "[service a]\n\"\"\"\n[b]\n\"\"\"", "[service a]\nowner = `x", "[service a]\nowner = x\\\ny",
		"[platform]\nowner = %(owner)s\n", "[request a]\n", "[objective a/b]\nanswered = NaN\n", "\uFEFF[platform]\n",
		"[platform]\r\nowner = x\r\nmax-depth = 9\r\n", "[service a]\nslots = 99999999999999999999\n", "= x\n[a]\n=\n",
		"[request a/b]\ntimeout = 99999999999h\n", "; generation 18446744073709551616\n[a]", "[a] ; b\nc", "[DEFAULT]\nowner = x",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		sections, err := Split([]byte(text))
		if err != nil {
			return
		}
		doc, err := ParseText([]byte(text))
		for _, p := range AsProblems(err) {
			if p.Allowed == "" || p.Section == "" && !strings.Contains(text, "[") {
				t.Errorf("problem without section or allowed values: %+v", p)
			}
		}
		if err != nil {
			return
		}
		again, err := ParseText(Join(sections))
		if err != nil || fmt.Sprint(doc) != fmt.Sprint(again) {
			t.Errorf("document changed by Join and Split: %v\n%v\n%v", err, doc, again)
		}
	})
}

// FuzzDecode guards against a panic or unbounded memory on any value from the store.
func FuzzDecode(f *testing.F) {
	sections, _ := Split([]byte(sampleText))
	data, err := Encode(hornbeamcroft.StoredDocument{Revision: 1, Sections: sections})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Add([]byte{0xa2, 0x01, 0x01, 0x02, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		stored, err := Decode(data)
		if err != nil {
			return
		}
		if stored.Revision == 0 || len(stored.Sections) > MaxSections {
			t.Errorf("accepted revision %d with %d sections", stored.Revision, len(stored.Sections))
		}
		_, _ = Parse(stored)
	})
}

func ExampleParseText() {
	_, err := ParseText([]byte("[service cash-office]\nowner = cash\nslots = 15\nconnections = 10\n"))
	fmt.Println(err)
	// Output: [service cash-office] connections = 10: contradiction: must be at least the 15 slots
}
