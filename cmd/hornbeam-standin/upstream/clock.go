package upstream

import (
	"net/http"
	"strconv"

	"golang.org/x/sys/unix"

	"hornbeamcroft/cmd/hornbeam-standin/exchange"
)

// startDeadlinePassed reports whether the host's monotonic clock has reached the time in the Hornbeam-Start-Before
// header, which is in nanoseconds of CLOCK_MONOTONIC. It also returns true if the header or the clock cannot be read,
// so that the request does not start.
func startDeadlinePassed(h http.Header) bool {
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
