package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// A request is what a caller sends, again and again.
type request struct {
	caller     string // for the record
	host, path string
	body       string
	budget     time.Duration
	retries    int
	once       bool // it may run once at most, so it is sent again only if it has not run
	proper     bool // the manifest allows it, and it crashes nothing
}

// An answer is the result of one attempt.
type answer struct {
	status int    // 0 without an answer
	signed bool   // by an engine
	text   string // for the record
}

// denied reports whether the answer is a 3xx or 4xx of the system's own, other than those that promise that the request has not run.
func (a answer) denied() bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return !a.signed && a.status >= 300 && a.status < 500
}

// promisesNotRun reports whether the answer says that the request has not run.
func (a answer) promisesNotRun() bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// A tally counts the attempts of proper requests.
type tally struct {
	mu                    sync.Mutex
	attempts, served      int
	denied, otherFailures int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts++
	switch {
	case a.status == http.StatusOK && a.signed:
		t.served++
	case a.denied():
		t.denied++
	default:
		t.otherFailures++
	}
}

// check checks the rule DENIED.
func (t *tally) check(rec *record) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	allowed := 5 + float64(t.attempts)/500
	rec.printf("proper requests: %d, served %d, ended with a 3xx or 4xx of the system's own %d (allowed %.1f), otherwise not served %d",
		t.attempts, t.served, t.denied, allowed, t.otherFailures)
	if t.served == 0 {
		return fmt.Errorf("no request was served")
	}
	if float64(t.denied) > allowed {
		return fmt.Errorf("DENIED: %d of %d proper requests: %w", t.denied, t.attempts, errBroken)
	}
	return nil
}

// poll sends the request once in each interval, through the entry VM with the number and, for a retry, the next one, until ctx ends.
func (d *deployment) poll(ctx context.Context, entry int, r request, interval time.Duration, t *tally) {
	client := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer client.CloseIdleConnections()
	for {
		begun := time.Now()
		for try := 0; try <= r.retries && time.Since(begun) < r.budget; try++ {
			a := d.send(ctx, client, (entry+try)%entries, r, r.budget-time.Since(begun))
			if ctx.Err() != nil {
				return // cut off by the end of the case
			}
			if r.proper {
				t.add(a)
			}
			if a.status == http.StatusOK || isFinal(a.status) || r.once && !a.promisesNotRun() {
				break
			}
		}
		if !sleep(ctx, interval-time.Since(begun)) {
			return
		}
	}
}

// isFinal reports whether a caller does not retry after the status.
func isFinal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge,
		http.StatusRequestHeaderFieldsTooLarge:
		return true
	}
	return false
}

// send sends one attempt.
func (d *deployment) send(ctx context.Context, client *http.Transport, entry int, r request, left time.Duration) answer {
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	url := "http://" + d.address(entryHost+entry, callerOffset) + r.path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(r.body))
	if err != nil {
		return answer{text: err.Error()}
	}
	req.Host = r.host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerAttempt, id)
	req.Header.Set("Geraniumdeck-Deadline-Ms", fmt.Sprint(left.Milliseconds()))
	d.rec.printf("%s sends %s to entry %d: POST %s%s %s", r.caller, id, entry, r.host, r.path, r.body)
	a := exchange(client, req)
	d.rec.printf("%s has the answer to %s: %s", r.caller, id, a.text)
	return a
}

func exchange(client *http.Transport, req *http.Request) answer {
	resp, err := client.RoundTrip(req)
	if err != nil {
		return answer{text: err.Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{text: err.Error()}
	}
	return answer{
		status: resp.StatusCode, signed: resp.Header.Get(headerSignature) != "",
		text: fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(body))),
	}
}
