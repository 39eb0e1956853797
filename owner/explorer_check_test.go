package owner_test

import (
	"fmt"

	"hornbeamcroft"
)

// ran records an execution and checks that it is the only one of its key, and that "not run" was not said before to a
// send that was received later.
func (w *world) ran(n *node, s *send) {
	w.runs++
	req := s.req
	w.logf("%s: runs %s (send %d)", n.name, req.key, s.number)
	for _, r := range req.runs {
		w.failures = append(w.failures, fmt.Sprintf("key %s ran twice: on %s at %s and on %s at %s",
			req.key, r.node, r.at, n.name, w.now))
	}
	req.runs = append(req.runs, run{at: w.now, node: n.name, content: s.content})
	for _, c := range req.claims {
		if c.contradicts(s.content) && (c.send == s || c.strict && s.receivedAt < c.at) {
			w.failures = append(w.failures, fmt.Sprintf("key %s runs on %s at %s by a send received at %s; %s said %s at %s",
				req.key, n.name, w.now, s.receivedAt, c.node, c.code, c.at))
		}
	}
}

// contradicts reports whether the claim is about a request with the content. Code 407 speaks of one content, all
// others of the key.
func (c claim) contradicts(content uint64) bool {
	return c.code != hornbeamcroft.CodeKeyReused || c.content == content
}

// claim records what a node says and checks that a key that ran is not called "not run". A claim that is not strict is
// made without a permit, for a first send; it counts unless the caller has sent again meanwhile.
func (n *node) claim(s *send, code hornbeamcroft.Code, strict bool) {
	if code.Claim() != hornbeamcroft.ClaimNotRun {
		return
	}
	w := n.w
	w.claims++
	c := claim{at: w.now, send: s, code: code, strict: strict, node: n.name, content: s.content}
	w.logf("%s: says %s of %s (send %d, strict=%v)", n.name, code, s.req.key, s.number, strict)
	if !strict && len(s.req.sends) > 1 && s.number == 1 {
		return
	}
	for _, r := range s.req.runs {
		if c.contradicts(r.content) {
			w.failures = append(w.failures, fmt.Sprintf("%s said %s of key %s at %s; it ran on %s at %s",
				n.name, code, s.req.key, w.now, r.node, r.at))
		}
	}
	s.req.claims = append(s.req.claims, c)
}
