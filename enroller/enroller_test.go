package enroller_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/enroller"
	"hornbeamcroft/platform"
	"hornbeamcroft/platform/standin/keeper"
)

// recoveryTime is the time within which the record must be back after an outage of the store.
const recoveryTime = 2 * time.Second

const key = "hornbeamcroft/members/a"

// fixture is an Enroller that runs with a stand-in store. Stop ends Run and waits for its return.
type fixture struct {
	keeper   *keeper.Keeper
	enroller *enroller.Enroller
	stop     func()
}

// start returns a running fixture whose store holds the record "one".
func start(t *testing.T) *fixture {
	t.Helper()
	k := &keeper.Keeper{}
	server := httptest.NewServer(k)
	end := make(chan struct{})
	go k.Run(end)
	s := &platform.Store{Address: strings.TrimPrefix(server.URL, "http://")}
	s.Open()
	e := &enroller.Enroller{
		Store: s, Key: key, OnLost: func(error) {}, OnFound: func() {}, OnWritten: func(int64) {},
	}
	e.Set([]byte("one"))
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { e.Run(ctx) })
	f := &fixture{keeper: k, enroller: e, stop: func() {
		cancel()
		wg.Wait()
	}}
	t.Cleanup(func() {
		f.stop()
		close(end)
		server.CloseClientConnections()
		server.Close()
	})
	f.await(t, "one", recoveryTime)
	return f
}

// await fails the test unless the store holds the record with the value within the limit. An empty value means that the store
// holds no record.
func (f *fixture) await(t *testing.T, value string, limit time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		items := f.keeper.Items(key)
		if value == "" && len(items) == 0 || len(items) == 1 && string(items[0].Value) == value {
			return
		}
	}
	t.Fatalf("the record is not %q after %s; the store holds %v", value, limit, f.keeper.Items(key))
}

// TestChange guards against a changed record that is not written, and against a record that stays after a planned stop.
func TestChange(t *testing.T) {
	f := start(t)
	f.enroller.Set([]byte("two"))
	f.await(t, "two", recoveryTime)
	f.stop()
	f.await(t, "", recoveryTime)
}

// TestOutages guards against a record that is not written again after its lease expired during an outage of the store, and
// against a wrong record after responses to writes were lost.
func TestOutages(t *testing.T) {
	for name, disturb := range map[string]func(f *fixture){
		"lapse": func(f *fixture) {
			f.keeper.SetFaults(keeper.Faults{Silent: true, Lapse: true})
			time.Sleep(enroller.TTL + time.Second)
		},
		"busy": func(f *fixture) {
			f.keeper.SetFaults(keeper.Faults{Busy: true, Lapse: true})
			time.Sleep(enroller.TTL + time.Second)
		},
		"lost answers": func(f *fixture) {
			f.keeper.SetFaults(keeper.Faults{LoseWrites: 1})
			f.enroller.Set([]byte("two"))
			time.Sleep(time.Second)
			f.enroller.Set([]byte("one"))
			time.Sleep(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t)
			disturb(f)
			f.keeper.SetFaults(keeper.Faults{})
			f.await(t, "one", recoveryTime)
		})
	}
}

// TestMissing guards against a record that is not written again after another process removed it, and against a record that is
// written again because a stale read did not contain it yet.
func TestMissing(t *testing.T) {
	is := is.New(t)
	f := start(t)
	revision := f.keeper.Items(key)[0].Revision
	f.enroller.Missing(revision - 1)
	time.Sleep(200 * time.Millisecond)
	is.Equal(f.keeper.Items(key)[0].Revision, revision)
	f.keeper.Remove(key)
	f.enroller.Missing(revision + 1)
	f.await(t, "one", recoveryTime)
}
