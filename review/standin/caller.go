package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// routeHost is the host of all routes.
const routeHost = "review.example"

// A call is one attempt of a caller.
type call struct {
	entry    int
	path     string
	model    string // MODEL or MODEL/ADAPTER; empty for none
	parts    string // Geraniumdeck-Prompt-Prefix
	body     string
	deadline time.Duration
}

// An outcome is what a caller got: the status, 0 without an answer, and whether the body came whole.
type outcome struct {
	attempt string
	status  int
	body    string
	whole   bool
}

var attempts atomic.Uint64

// newCallerClient returns a client that keeps channels open, as callers do.
func newCallerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}
}

// send sends a call to an entry VM; sent is called with the attempt's ID before.
func (d *deployment) send(ctx context.Context, client *http.Client, c call, sent func(attempt string)) outcome {
	o := outcome{attempt: fmt.Sprintf("%016x", 0xa000000000000000+attempts.Add(1))}
	if sent != nil {
		sent(o.attempt)
	}
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	target := "http://" + address(d.ip(processNet, 1+d.entries[c.entry].index), d.ports.callers) + c.path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(c.body))
	if err != nil {
		return o
	}
	r.GetBody = nil // keeps net/http from sending a call twice
	r.Host = routeHost
	r.Header.Set(headerAttempt, o.attempt)
	r.Header.Set("Geraniumdeck-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.model != "" {
		r.Header.Set(headerModel, c.model)
		r.Header.Set("Geraniumdeck-Token-Usage", "300,40")
		r.Header.Set(headerPrefix, c.parts+","+o.attempt[8:]+":20")
	}
	d.record.addf("%s sent to entry %d: %s %s", o.attempt, c.entry, c.path, c.model)
	resp, err := client.Do(r)
	if err != nil {
		d.record.addf("%s gets no answer: %v", o.attempt, err)
		return o
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	o.status, o.body, o.whole = resp.StatusCode, string(data), err == nil
	d.record.addf("%s gets %d, whole %t, %d bytes", o.attempt, o.status, o.whole, len(o.body))
	return o
}
