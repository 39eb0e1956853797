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

// backTime is the time within which a record must be back after an outage of the store.
const backTime = 2 * time.Second

const key = "hornbeamcroft/members/a"

type fixture struct {
	keeper *keeper.Keeper
	e      *enroller.Enroller
	stop   func()
}

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
	f := &fixture{keeper: k, e: e, stop: func() {
		cancel()
		wg.Wait()
	}}
	t.Cleanup(func() {
		f.stop()
		close(end)
		server.CloseClientConnections()
		server.Close()
	})
	f.await(t, "one", backTime)
	return f
}

// await fails unless the record has the value within the time; an empty one means that there is none.
func (f *fixture) await(t *testing.T, value string, limit time.Duration) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		items := f.keeper.Items(key)
		if value == "" && len(items) == 0 || len(items) == 1 && string(items[0].Value) == value {
			return
		}
	}
	t.Fatalf("the record is not %q after %s: %v", value, limit, f.keeper.Items(key))
}

// TestChange guards against a changed record that is not written, and against one that outlives a planned stop.
func TestChange(t *testing.T) {
	f := start(t)
	f.e.Set([]byte("two"))
	f.await(t, "two", backTime)
	f.stop()
	f.await(t, "", backTime)
}

// TestOutages guards against a record that stays away after the store has lost it.
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
			f.e.Set([]byte("two"))
			time.Sleep(time.Second)
			f.e.Set([]byte("one"))
			time.Sleep(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t)
			disturb(f)
			f.keeper.SetFaults(keeper.Faults{})
			f.await(t, "one", backTime)
		})
	}
}

// TestMissing guards against a record that is not written again after another hand has removed it, and against an old copy
// of the store that makes the node write it again.
func TestMissing(t *testing.T) {
	is := is.New(t)
	f := start(t)
	revision := f.keeper.Items(key)[0].Revision
	f.e.Missing(revision - 1)
	time.Sleep(200 * time.Millisecond)
	is.Equal(f.keeper.Items(key)[0].Revision, revision)
	f.keeper.Remove(key)
	f.e.Missing(revision + 1)
	f.await(t, "one", backTime)
}
