// Command reviewstandin2 plays the cases of the second review against nodes that run as processes of their own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxTime ends a case that hangs.
const maxTime = 110 * time.Second

// cases are the cases by name. A case returns one of the exit statuses. trouble is false for the run without the disruption.
var cases = map[string]func(f *fleet, trouble bool) (int, error){
	"early-answer":  runEarlyAnswer,
	"leaving":       runLeaving,
	"silent-answer": runSilentAnswer,
	"slow-reading":  runSlowReading,
}

// startMilli is the Unix time in milliseconds at started, which the script gives.
var (
	startMilli int64
	started    = time.Now()
)

// unixMilli returns the Unix time in milliseconds, as the steady clock has advanced it since the start.
func unixMilli() int64 { return startMilli + time.Since(started).Milliseconds() }

func main() {
	var err error
	if len(os.Args) == 5 {
		startMilli, err = strconv.ParseInt(os.Args[4], 10, 64)
	}
	if len(os.Args) != 5 || err != nil || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstandin2 CASE FOLDER PROGRAM UNIX-MILLISECONDS")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays a case and returns its exit status. All processes that it has started have ended then.
func run(name, folder, program string) int {
	f, err := newFleet(folder, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	f.note("case %s, TROUBLE: %v", name, trouble)
	type outcome struct {
		status int
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		status, err := cases[name](f, trouble)
		done <- outcome{status, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	var o outcome
	select {
	case o = <-done:
	case <-time.After(maxTime):
		o = outcome{failed, fmt.Errorf("no result after %s", maxTime)}
	case s := <-signals:
		o = outcome{failed, fmt.Errorf("ended by %s", s)}
	}
	if o.err != nil {
		f.note("the case could not run: %v", o.err)
		fmt.Fprintln(os.Stderr, o.err)
		o.status = failed
	}
	f.note("exit status %d", o.status)
	return o.status
}
