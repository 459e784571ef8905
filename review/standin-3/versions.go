package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	streamCallers = 36
	streamBudget  = 12 * time.Second // of stand-query
	streamTime    = 30 * time.Second // in which callers begin streams

	restartTime = 700 * time.Millisecond // from the crash of an engine to its next start

	// allowedMixed is how many streams may hold events of two versions.
	allowedMixed = 2
)

// playNewVersion lets one of three engines crash in the midst of its streams and start again under its ID, with the version of the software
// that the two others have already.
func playNewVersion(ctx context.Context, d *deployment, trouble bool) error {
	old := &engine{service: "notes", versions: []string{"v1", "v2"}, keepsID: true, slots: 64, downTime: restartTime}
	if err := d.addEngine(old); err != nil {
		return err
	}
	for i := 1; i < engineCount; i++ {
		if err := d.addEngine(&engine{service: "notes", number: i, versions: []string{"v2"}, keepsID: true, slots: 64, downTime: restartTime}); err != nil {
			return err
		}
	}
	stream := `{"name":"r-notes","host":"notes.example","pathPrefix":"/notes/","kind":"stream","timeoutMs":12000,"targetLatencyMs":500,` +
		`"priority":1,"service":"notes","maxAttempts":2,"sticky":false,"resumable":true,"gapTargetMs":200}`
	if err := d.begin(ctx, manifest(7, stream, plainService("notes"))); err != nil {
		return err
	}
	var t streamTally
	var callers sync.WaitGroup
	end := time.Now().Add(streamTime)
	for i := range streamCallers {
		callers.Go(func() {
			sleep(ctx, time.Duration(i)*100*time.Millisecond)
			for time.Now().Before(end) && ctx.Err() == nil {
				t.add(d.readStream(ctx, i, ""))
				sleep(ctx, 200*time.Millisecond)
			}
		})
	}
	if sleep(ctx, 14*time.Second) && trouble {
		old.crash()
	}
	callers.Wait()
	return t.check(d.rec)
}

// A streamTally counts streams.
type streamTally struct {
	mu                     sync.Mutex
	all, whole, mixed, old int
}

func (t *streamTally) add(s *callerStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all++
	if s.whole {
		t.whole++
	}
	if len(s.versions) > 1 {
		t.mixed++
	}
	if s.versions["v1"] {
		t.old++
	}
}

func (t *streamTally) check(rec *record) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec.printf("streams: %d, whole %d, with events of v1 %d, with events of two versions %d (allowed %d)", t.all, t.whole, t.old, t.mixed, allowedMixed)
	if t.whole == 0 || t.old == 0 {
		return fmt.Errorf("no stream of each version was served")
	}
	if t.mixed > allowedMixed {
		return fmt.Errorf("ORDER: %d streams hold events of two versions: %w", t.mixed, errBroken)
	}
	return nil
}

// A callerStream is a stream as its caller has it, over all tries.
type callerStream struct {
	first    string // attempt that brought the first event
	last     int    // ID of the last event
	whole    bool
	versions map[string]bool
}

// readStream asks for a stream, of a model unless its name is empty, and takes it up once more if it breaks off.
func (d *deployment) readStream(ctx context.Context, caller int, model string) *callerStream {
	ctx, cancel := context.WithTimeout(ctx, streamBudget)
	defer cancel()
	s := &callerStream{versions: make(map[string]bool)}
	for try := 0; try < 2 && !s.whole && ctx.Err() == nil; try++ {
		text := d.readTry(ctx, caller, (caller+try)%entries, model, s)
		d.rec.printf("caller-%d: %s; last event %d", caller, text, s.last)
	}
	return s
}

// readTry makes one attempt at the stream and returns how it ended.
func (d *deployment) readTry(ctx context.Context, caller, entry int, model string, s *callerStream) string {
	id := fmt.Sprintf("%016x", rand.Uint64())
	deadline, _ := ctx.Deadline()
	url := "http://" + d.address(entryHost+entry, callerOffset) + streamPrefix + "write"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(fmt.Sprintf(`{"stand":"%s"}`, id)))
	if err != nil {
		return err.Error()
	}
	req.Host = "notes.example"
	req.Header.Set(headerAttempt, id)
	req.Header.Set("Geraniumdeck-Deadline-Ms", fmt.Sprint(time.Until(deadline).Milliseconds()))
	if model != "" {
		req.Header.Set("Geraniumdeck-Model", model)
		req.Header.Set("Geraniumdeck-Token-Usage", "715,280")
		req.Header.Set("Geraniumdeck-Prompt-Prefix", "5c1e07a2:172,"+id+":543")
	}
	if s.last > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		req.Header.Set("Resumes", s.first)
	}
	d.rec.printf("caller-%d sends %s to entry %d, after event %d", caller, id, entry, s.last)
	resp, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(req)
	if err != nil {
		return fmt.Sprintf("%s: %v", id, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Header.Get(headerSignature) == "" {
		return fmt.Sprintf("%s: status %d", id, resp.StatusCode)
	}
	var had []string
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: note ")
		if !ok {
			continue
		}
		number, version, _ := strings.Cut(data, " ")
		if s.last, err = strconv.Atoi(number); err != nil {
			return fmt.Sprintf("%s: odd event %q", id, data)
		}
		if s.first == "" {
			s.first = id
		}
		if len(had) == 0 || had[len(had)-1] != version {
			had = append(had, version)
			d.rec.printf("caller-%d has event %d of %s, of version %s", caller, s.last, id, version)
		}
		s.versions[version] = true
	}
	s.whole = lines.Err() == nil
	return fmt.Sprintf("%s ended with versions %v: %v", id, had, lines.Err())
}
