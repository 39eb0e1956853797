package main

import "time"

// stabilityTime is the time without a disturbance after which a machine is in touch.
const stabilityTime = 3 * time.Second

// constant returns a work function for requests that all take the same time.
func constant(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}

// every calls fn at an interval until stop is closed.
func every(stop <-chan struct{}, d time.Duration, fn func(i int)) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(d):
			fn(i)
		}
	}
}
