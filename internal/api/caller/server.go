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

// NewServer returns a server for the callers' listener. Body and stream limits are the handler's, since answers may run
// for hours.
func NewServer(h *Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
