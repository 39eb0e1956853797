package reserver

import (
	"testing"

	"github.com/matryer/is"
)

// TestLimit guards against accounts that exceed the limit together, and against memory that is not released.
func TestLimit(t *testing.T) {
	is := is.New(t)
	r := &Reserver{Limit: 100}
	a, b := r.Open(), r.Open()
	is.True(a.Reserve(60))
	is.True(!b.Reserve(41))
	is.True(b.Reserve(40))
	is.Equal(r.Reserved(), int64(100))
	is.Equal(r.Refused(), int64(1))
	a.Release(20)
	is.Equal(r.Reserved(), int64(80))
	a.Close()
	a.Release(20)
	is.Equal(r.Reserved(), int64(40))
	is.True(b.Reserve(60))
	b.Close()
	b.Close()
	is.Equal(r.Reserved(), int64(0))
}
