package parser

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gopkg.in/ini.v1"

	"hornbeamcroft"
)

// table returns the reference of a kind of section as Markdown.
func table(kind string) string {
	var b strings.Builder
	b.WriteString("| key | unit | default | allowed | meaning |\n|---|---|---|---|---|\n")
	for _, k := range Keys {
		if k.Kind == kind {
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.Key, k.Unit, k.Default, k.Allowed, k.Meaning)
		}
	}
	return b.String()
}

// TestSettingsPage guards against a reference that differs from the defaults and bounds in the code.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/settings-document.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range []string{KindPlatform, KindService, KindRequest, KindObjective} {
		if !strings.Contains(string(page), table(kind)) {
			t.Errorf("docs/settings-document.md needs this table for %s:\n%s", kind, table(kind))
		}
	}
}

// TestKeysAreRead guards against a key in the reference that the parser does not read, or the other way round.
func TestKeysAreRead(t *testing.T) {
	subjects := map[string]string{KindPlatform: "", KindService: " a", KindRequest: " a/b", KindObjective: " a/b"}
	for kind, subject := range subjects {
		b := builder{doc: hornbeamcroft.Document{
			Services: map[string]hornbeamcroft.Service{}, Requests: map[string]hornbeamcroft.RequestType{},
			Objectives: map[string]hornbeamcroft.Objective{},
		}}
		f := ini.Empty(iniOptions)
		fs := &fields{section: kind + subject, ini: f.Section(""), used: map[string]bool{}, add: b.problem}
		b.owner(hornbeamcroft.Section{}, fs)
		switch kind {
		case KindPlatform:
			b.platform(fs)
		case KindService:
			b.service(fs, "a", "")
		case KindRequest:
			b.request(fs, "a/b", "")
		case KindObjective:
			b.objective(fs, "a/b", "")
		}
		listed := map[string]bool{}
		for _, k := range Keys {
			if k.Kind == kind {
				listed[k.Key] = true
			}
		}
		if fmt.Sprint(listed) != fmt.Sprint(fs.used) {
			t.Errorf("%s: listed %v, read %v", kind, listed, fs.used)
		}
	}
}

// TestDefaultsAreListed guards against a default in the reference that a document without the key does not get.
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
		t.Errorf("defaults written out:\n%v\nleft out:\n%v", got, implicit)
	}
}
