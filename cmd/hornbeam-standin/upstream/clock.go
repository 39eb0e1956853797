package upstream

import (
	"net/http"
	"strconv"

	"golang.org/x/sys/unix"

	"hornbeamcroft/cmd/hornbeam-standin/exchange"
)

// startIsLate reports whether the host's monotonic clock has passed Hornbeam-Start-Before, in nanoseconds of
// CLOCK_MONOTONIC. A value that cannot be read forbids the start.
func startIsLate(h http.Header) bool {
	v := h.Get(exchange.HeaderStartBefore)
	if v == "" {
		return false
	}
	before, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return true
	}
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return true
	}
	return now.Nano() >= before
}
