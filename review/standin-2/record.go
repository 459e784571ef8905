package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// A record is the file of what was sent, answered and run, with the seconds since its start.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.4f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.w, format, args...)
	fmt.Fprintln(r.w)
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.w.Flush(), r.file.Close())
}
