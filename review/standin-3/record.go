package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// A record takes one line for each event, with the time since the start.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
