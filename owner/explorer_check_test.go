package owner_test

import (
	"fmt"

	"hornbeamcroft"
)

// recordRun records a run of a key. It reports a violation if the key ran before, if this send was answered "not run",
// or if a strict "not run" claim was made for the key after this send was received.
func (sim *simulation) recordRun(n *node, s *send) {
	sim.runCount++
	req := s.req
	sim.logf("%s: runs %s (send %d)", n.name, req.key, s.number)
	for _, r := range req.runs {
		sim.violations = append(sim.violations, fmt.Sprintf("key %s ran twice: on %s at %s and on %s at %s",
			req.key, r.node, r.at, n.name, sim.now))
	}
	req.runs = append(req.runs, run{at: sim.now, node: n.name, content: s.content})
	for _, c := range req.claims {
		if c.contradicts(s.content) && (c.send == s || c.strict && s.receivedAt < c.at) {
			sim.violations = append(sim.violations, fmt.Sprintf(
				"key %s runs on %s at %s by a send received at %s; %s claimed %s at %s",
				req.key, n.name, sim.now, s.receivedAt, c.node, c.code, c.at))
		}
	}
}

// contradicts reports whether the claim is wrong if a request with the given content ran. A claim with CodeKeyReused
// (407) is about the content of its send only, any other claim is about the key.
func (c claim) contradicts(content uint64) bool {
	return c.code != hornbeamcroft.CodeKeyReused || c.content == content
}

// recordClaim records an answer that claims "not run", and reports a violation if the key ran before. A node without a
// permit makes only claims that are not strict, and only for a first send; they are ignored if the caller has sent the
// key again meanwhile.
func (n *node) recordClaim(s *send, code hornbeamcroft.Code, strict bool) {
	if code.Claim() != hornbeamcroft.ClaimNotRun {
		return
	}
	sim := n.sim
	sim.notRunClaims++
	c := claim{at: sim.now, send: s, code: code, strict: strict, node: n.name, content: s.content}
	sim.logf("%s: claims %s for %s (send %d, strict=%v)", n.name, code, s.req.key, s.number, strict)
	if !strict && len(s.req.sends) > 1 && s.number == 1 {
		return
	}
	for _, r := range s.req.runs {
		if c.contradicts(r.content) {
			sim.violations = append(sim.violations, fmt.Sprintf("%s claimed %s for key %s at %s; it ran on %s at %s",
				n.name, code, s.req.key, sim.now, r.node, r.at))
		}
	}
	s.req.claims = append(s.req.claims, c)
}
