//go:build review3

// Command standin-3 plays the scripts of the third review: it starts nodes as separate processes on loopback addresses, with small
// stand-ins of backends and clients and the project's stand-in of the store, and checks one rule by what clients and backends see.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit statuses of the scripts.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// scenarios maps the name of a script to the function that plays it. It returns whether the rule held.
var scenarios = map[string]func(w *world, trouble bool) (bool, error){
	"broken-download":     playBrokenDownload,
	"early-departure":     playEarlyDeparture,
	"failing-backend":     playFailingBackend,
	"forgotten-departure": playForgottenDeparture,
	"reused-address":      playReusedAddress,
}

func main() {
	node := flag.String("node", "target/hornbeam-node", "program of the node")
	record := flag.String("record", "record.txt", "file of the record")
	now := flag.Int64("now", 0, "time of day in Unix milliseconds")
	flag.Parse()
	play := scenarios[flag.Arg(0)]
	if play == nil || *now <= 0 {
		fmt.Fprintln(os.Stderr, "unknown script, or no time of day:", flag.Arg(0))
		os.Exit(statusNotRun)
	}
	os.Exit(run(play, *node, *record, *now, os.Getenv("TROUBLE") != "0"))
}

// run plays a script and returns the exit status.
func run(play func(w *world, trouble bool) (bool, error), node, record string, now int64, trouble bool) int {
	folder, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	w := &world{program: node, folder: folder, start: time.Now(), startMs: now}
	w.note("script begins, trouble: %t", trouble)
	held, err := play(w, trouble)
	w.close()
	status := statusHeld
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		status = statusNotRun
	case !held:
		w.note("rule broken")
		status = statusBroken
	default:
		w.note("rule held")
	}
	if err := w.writeRecord(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	return status
}
