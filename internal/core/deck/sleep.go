package deck

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends; it returns false if ctx has ended.
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

// Every calls f once per period until ctx ends; the first call is after one period.
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

// ErrorText returns the error's text for a log line; it is empty if err is nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
