package deck

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether ctx is still running.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Every calls f once in each period until ctx ends.
func Every(ctx context.Context, period time.Duration, f func(context.Context)) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f(ctx)
		}
	}
}

// ErrorText returns the error's text for a log line; empty for none.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
