package caller

import (
	"net/http"
	"time"
)

// Limits of the callers' listener.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// NewServer returns an HTTP server for the callers' listener. Beyond the headers it has no read or write timeout, since answers
// may stream for hours; the handler limits the time to read a body and for each write.
func NewServer(h *Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
