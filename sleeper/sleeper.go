// Package sleeper waits for a time or until a context ends.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for the duration d and reports true. It reports false, at once, when ctx ends first or has already ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Wait waits for the duration d like Sleep. It returns the error of ctx if ctx ends first.
func Wait(ctx context.Context, d time.Duration) error {
	if !Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
