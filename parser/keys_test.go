package parser

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gopkg.in/ini.v1"

	"hornbeamcroft"
)

// markdownTable returns the reference of the keys of a kind of section as a Markdown table.
func markdownTable(kind string) string {
	var b strings.Builder
	b.WriteString("| key | unit | default | allowed | meaning |\n|---|---|---|---|---|\n")
	for _, k := range Keys {
		if k.Kind == kind {
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.Key, k.Unit, k.Default, k.Allowed, k.Meaning)
		}
	}
	return b.String()
}

// TestSettingsPage guards against a reference page, docs/settings-document.md, that differs from the defaults and
// bounds in the code.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/settings-document.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range []string{KindPlatform, KindService, KindRequest, KindObjective} {
		if !strings.Contains(string(page), markdownTable(kind)) {
			t.Errorf("docs/settings-document.md needs this table for %s:\n%s", kind, markdownTable(kind))
		}
	}
}

// TestKeysAreRead guards against a key that is in Keys but that the parser does not read, and a key that the parser
// reads but that is not in Keys.
func TestKeysAreRead(t *testing.T) {
	subjects := map[string]string{KindPlatform: "", KindService: " a", KindRequest: " a/b", KindObjective: " a/b"}
	for kind, subject := range subjects {
		b := builder{doc: hornbeamcroft.Document{
			Services: map[string]hornbeamcroft.Service{}, RequestTypes: map[string]hornbeamcroft.RequestType{},
			Objectives: map[string]hornbeamcroft.Objective{},
		}}
		f := ini.Empty(iniOptions)
		keys := &keyReader{section: kind + subject, ini: f.Section(""), known: map[string]bool{}, addProblem: b.addProblem}
		b.parseOwner(hornbeamcroft.Section{}, keys)
		switch kind {
		case KindPlatform:
			b.parsePlatform(keys)
		case KindService:
			b.parseService(keys, "a", "")
		case KindRequest:
			b.parseRequest(keys, "a/b", "")
		case KindObjective:
			b.parseObjective(keys, "a/b", "")
		}
		listed := map[string]bool{}
		for _, k := range Keys {
			if k.Kind == kind {
				listed[k.Key] = true
			}
		}
		if fmt.Sprint(listed) != fmt.Sprint(keys.known) {
			t.Errorf("%s: listed %v, read %v", kind, listed, keys.known)
		}
	}
}

// TestDefaultsAreListed guards against a default in Keys that differs from the value that a document without the key
// gets: a document with all defaults written out must equal one without them.
func TestDefaultsAreListed(t *testing.T) {
	short := "[service a]\nowner = x\nslots = 1\nconnections = 1\n[request a/b]\nowner = x\n" +
		"[objective a/b]\nowner = x\nanswered = 0.9\n[platform]\nowner = x\n"
	implicit, err := ParseText([]byte(short))
	if err != nil {
		t.Fatal(err)
	}
	headers := map[string]string{KindService: "[service a]\n", KindRequest: "[request a/b]\n", KindObjective: "[objective a/b]\n", KindPlatform: "[platform]\n"}
	explicit := short
	for _, k := range Keys {
		if k.Default == required || k.Default == "none" || k.Default == "1/3" {
			continue
		}
		explicit = strings.Replace(explicit, headers[k.Kind], headers[k.Kind]+k.Key+" = "+k.Default+"\n", 1)
	}
	got, err := ParseText([]byte(explicit))
	if err != nil {
		t.Fatal(err)
	}
	if fmt.Sprint(got) != fmt.Sprint(implicit) {
		t.Errorf("document with the defaults written out:\n%v\nwithout them:\n%v", got, implicit)
	}
}
