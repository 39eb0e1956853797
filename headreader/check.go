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
	case r.Header.Get("Expect") != "" && !strings.EqualFold(r.Header.Get("Expect"), "100-continue"):
		return ErrExpectation
	case strings.ContainsFunc(r.Host, isNoHostRune):
		return errors.Wrap(ErrMalformed, "Host has characters that are not allowed")
	}
	for name, values := range r.Header {
		if !isToken(name) || slices.ContainsFunc(values, hasControl) {
			return errors.Wrap(ErrMalformed, "field has characters that are not allowed")
		}
	}
	return nil
}

// isToken reports whether the name of a field consists of characters that are allowed there.
func isToken(name string) bool {
	for i := range len(name) {
		c := name[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return name != ""
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

// isNoHostRune reports whether a character is not allowed in the field Host.
func isNoHostRune(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return false
	}
	return !strings.ContainsRune("!$%&()*+,-.:;=@[]'_~", c)
}
