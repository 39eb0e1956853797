package server

import (
	"github.com/cespare/xxhash/v2"

	"hornbeamcroft"
	"hornbeamcroft/forwarder"
)

// home returns the home of the call's key: the member with the highest hash of key and name.
func (s *Server) home(call hornbeamcroft.Call) forwarder.Target {
	best := forwarder.Target{Code: hornbeamcroft.CodeNoUpstream}
	var top uint64
	for _, m := range s.members.service(call.Service) {
		if h := xxhash.Sum64String(call.Key + "/" + m.Name); best.Code != 0 || h > top {
			best, top = forwarder.Target{Name: m.Name, Address: m.Address}, h
		}
	}
	return best
}

// deriveKey returns the key of a child call.
func deriveKey(parentKey, service, requestType string, body []byte) string {
	d := xxhash.New()
	for _, s := range []string{parentKey, service, requestType, string(body)} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("/")
	}
	return parentKey[:min(len(parentKey), 64)] + "-" + hex(d.Sum64())
}

func hex(n uint64) string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := range b {
		b[15-i] = digits[n&15]
		n >>= 4
	}
	return string(b[:])
}
