package headreader

import (
	"net/http"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// check applies the rules that net/http's server has besides those of its parser. Rest is the number of bytes of the head that were
// not parsed: its parser ends at a line of spaces.
func check(r *http.Request, hasHost bool, rest int) error {
	switch {
	case r.ProtoMajor != 1:
		return ErrVersion
	case rest > 0:
		return errors.Wrap(ErrMalformed, "line of spaces")
	case r.ProtoAtLeast(1, 1) && !hasHost && r.Method != http.MethodConnect:
		return errors.Wrap(ErrMalformed, "Host is missing")
	case r.Header.Get("Expect") != "" && !expectsContinue(r.Header.Get("Expect")):
		return ErrExpectation
	case !hostChars.hasOnly(r.Host):
		return errors.Wrap(ErrMalformed, "Host has characters that are not allowed")
	}
	for name, values := range r.Header {
		if name == "" || !tokenChars.hasOnly(name) || slices.ContainsFunc(values, hasControl) {
			return errors.Wrap(ErrMalformed, "field has characters that are not allowed")
		}
	}
	return nil
}

// expectsContinue reports whether a list of expectations has 100-continue. As in net/http, others beside it are ignored.
func expectsContinue(list string) bool {
	for expectation := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.TrimSpace(expectation), "100-continue") {
			return true
		}
	}
	return false
}

// charSet is a set of bytes.
type charSet [256]bool

// newCharSet returns the set of letters, digits and the given characters.
func newCharSet(others string) *charSet {
	set := &charSet{}
	for c := range set {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		set[c] = letter || c >= '0' && c <= '9' || strings.IndexByte(others, byte(c)) >= 0
	}
	return set
}

// Characters that are allowed in the name of a field and in the field Host.
var (
	tokenChars = newCharSet("!#$%&'*+-.^_`|~")
	hostChars  = newCharSet("!$%&()*+,-.:;=@[]'_~")
)

// hasOnly reports whether a text consists of characters of the set.
func (s *charSet) hasOnly(text string) bool {
	for i := range len(text) {
		if !s[text[i]] {
			return false
		}
	}
	return true
}

// hasControl reports whether the value of a field has control characters other than tabs.
func hasControl(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}
