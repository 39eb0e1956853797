package flowcontroller

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// TestFlow guards against a receiver that must hold more than the window, and against both ends waiting for each other for ever. Chunks,
// reads and the delay of frames are drawn.
func TestFlow(t *testing.T) {
	for seed := range uint64(200) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		const window, chunk, total = 256, 32, 20_000
		sender, receiver := FlowController{Window: window}, FlowController{Window: window}
		var chunks, credits []int // under way
		sent, held, passedOn := 0, 0, 0
		for steps := 0; passedOn < total; steps++ {
			if steps > 100*total {
				t.Fatalf("seed %d: no progress after %d of %d bytes", seed, passedOn, total)
			}
			switch rng.IntN(4) {
			case 0:
				if n := min(1+rng.IntN(chunk), total-sent, sender.Free()); n > 0 {
					is.NoErr(sender.Add(n))
					chunks, sent = append(chunks, n), sent+n
				}
			case 1:
				if len(chunks) > 0 {
					is.NoErr(receiver.Add(chunks[0]))
					held, chunks = held+chunks[0], chunks[1:]
				}
			case 2:
				n := min(held, 1+rng.IntN(2*chunk))
				held, passedOn = held-n, passedOn+n
				if credit := receiver.PassOn(n); credit > 0 {
					credits = append(credits, credit)
				}
			case 3:
				if len(credits) > 0 {
					is.NoErr(sender.Credit(credits[0]))
					credits = credits[1:]
				}
			}
			is.True(held <= window)
			is.True(sent-passedOn <= window)
		}
	}
}

// TestPeerExceedsWindow guards against a peer that makes this process hold more than the window, or that widens the window by credits
// for bytes which were not sent.
func TestPeerExceedsWindow(t *testing.T) {
	is := is.New(t)
	f := FlowController{Window: 100}
	is.NoErr(f.Add(60))
	is.True(f.Add(41) != nil)
	is.True(f.Add(-1) != nil)
	is.NoErr(f.Add(40))
	is.True(f.Credit(101) != nil)
	is.True(f.Credit(0) != nil)
	is.True(f.Credit(-5) != nil)
	is.NoErr(f.Credit(100))
	is.Equal(f.Free(), 100)
	is.True(f.Credit(1) != nil)
}
