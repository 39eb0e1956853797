// Package sleeper waits.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for the time. It reports false if ctx ends first.
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

// Wait waits for the time. It returns the error of ctx if that ends first.
func Wait(ctx context.Context, d time.Duration) error {
	if !Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
