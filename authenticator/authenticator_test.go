package authenticator

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
)

var tables = map[string]hornbeamcroft.RouteTable{
	"none":  {},
	"empty": {HasTenants: true},
	"two": {HasTenants: true, Tenants: []hornbeamcroft.Tenant{
		{Name: "acme", Keys: []hornbeamcroft.KeyHash{hornbeamcroft.HashKey("k-acme"), hornbeamcroft.HashKey("k-acme-2")}},
		{Name: "globex", Keys: []hornbeamcroft.KeyHash{hornbeamcroft.HashKey("k-globex")}},
	}},
	"unreadable": {HasTenants: true, TenantsUnreadable: true},
}

var quoted = regexp.MustCompile(`"[^"]*"`)

// TestIdentify guards against requests that are attributed to a wrong tenant, or refused or admitted wrongly. The cases are lines
// of testdata/cases.txt.
func TestIdentify(t *testing.T) {
	text, err := os.ReadFile("testdata/cases.txt")
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(string(text), "\n") {
		if line == "" || line[0] == '#' {
			continue
		}
		t.Run(strconv.Itoa(i+1), func(t *testing.T) {
			is := is.New(t)
			var fields []string
			for _, s := range quoted.FindAllString(line, -1) {
				field, err := strconv.Unquote(s)
				is.NoErr(err)
				fields = append(fields, field)
			}
			words := strings.Fields(quoted.ReplaceAllString(line, ""))
			table, ok := tables[words[0]]
			is.True(ok)
			is.True(words[1] == "public" || words[1] == "private")
			v := New(table).Identify(fields, words[1] == "public")
			is.Equal(describe(v), strings.Join(words[2:], " "))
		})
	}
}

// describe returns the tenant, or the code and the reason.
func describe(v Verdict) string {
	if v.Tenant.Name != "" {
		return strings.TrimSpace(v.Tenant.Name + " " + string(v.Reason))
	}
	code := "-"
	if v.Code != 0 {
		code = strconv.Itoa(int(v.Code))
	}
	return strings.TrimSpace(code + " " + string(v.Reason))
}
