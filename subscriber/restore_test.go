package subscriber_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxCallsAfterRestore bounds the calls of one subscriber in the second after the store was restored.
const maxCallsAfterRestore = 20

// TestChangeMissedAfterRestore guards against changes on a restored store that are missed, and against a loop of lists, because its revisions went back.
func TestChangeMissedAfterRestore(t *testing.T) {
	is := is.New(t)
	f := start(t, 5*time.Second)
	f.store.Put("r/a", []byte("old"))
	time.Sleep(300 * time.Millisecond) // a snapshot holds it
	for i := range 10 {
		f.store.Put("r/a", []byte(strconv.Itoa(i)))
	}
	f.await(t, "9", time.Second)
	f.store.Restore(200 * time.Millisecond)
	f.calls.Store(0)
	time.Sleep(time.Second)
	is.True(f.calls.Load() <= maxCallsAfterRestore)
	for i := range 30 { // the new revisions pass the old ones
		value := "after-" + strconv.Itoa(i)
		f.store.Put("r/a", []byte(value))
		f.await(t, value, time.Second)
	}
}
