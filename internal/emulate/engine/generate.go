package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

const (
	maxBodyBytes     = 16 << 20
	defaultMaxTokens = 16
)

// completionRequest holds the fields of an inference API request that the emulator reads.
type completionRequest struct {
	Model     string          `json:"model"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`

	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// TokenText returns the text of token i of the answer to a request body; it differs between bodies, so that tests can tell which
// request an answer belongs to. With a software version it names the version as well.
func TokenText(body []byte, i int, software deck.SoftwareVersion) string {
	if software != "" {
		return fmt.Sprintf("%08x-%d@%s ", uint32(xxhash.Sum64(body)), i, software)
	}
	return fmt.Sprintf("%08x-%d ", uint32(xxhash.Sum64(body)), i)
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	hasTokenLimit := c.MaxTokens > 0
	if !hasTokenLimit {
		c.MaxTokens = defaultMaxTokens
	}
	s, ok := e.admit(w, r, c, body)
	if !ok {
		return
	}
	defer e.dequeue(s.req)
	s.hasTokenLimit, s.includeUsage = hasTokenLimit, c.StreamOptions.IncludeUsage
	s.writeAnswer(w)
}

// stream is one answer that is being sent.
type stream struct {
	engine        *Engine
	req           *request
	body          []byte
	software      deck.SoftwareVersion
	chat          bool
	nextToken     int // offset of the next token
	totalTokens   int
	hasTokenLimit bool // the caller set max_tokens, so the answer ends for reason length
	includeUsage  bool // the last chunk carries the token usage
	silentAfter   int  // number of tokens after which nothing more is sent; negative for never
	promptCached  bool
}

// admit checks the request against the engine's state and enqueues it; it writes the error response if it refuses the request.
func (e *Engine) admit(w http.ResponseWriter, r *http.Request, c completionRequest, body []byte) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(wire.HeaderBootID, e.bootID)
	if e.faults.Draining {
		w.Header().Set(wire.HeaderDraining, "true")
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return nil, false
	}
	if !e.giveNotice(w) {
		return nil, false
	}
	model, _, _ := strings.Cut(c.Model, ":")
	version := deck.VersionName(r.Header.Get(wire.HeaderModelVersion))
	if !e.state.hasModel(deck.ModelName(model), version) {
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return nil, false
	}
	if a := deck.AdapterName(r.Header.Get(wire.HeaderAdapter)); a != "" {
		if _, ok := e.state.adapters[a]; !ok {
			http.Error(w, "adapter is not loaded", http.StatusNotFound)
			return nil, false
		}
	}
	if e.faults.CrashOn != "" && strings.Contains(string(body), e.faults.CrashOn) {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	s := &stream{
		engine: e, body: body, software: e.software, chat: r.URL.Path == wire.PathChatCompletions, totalTokens: c.MaxTokens,
		silentAfter: -1,
	}
	if e.software != "" {
		w.Header().Set(wire.HeaderSoftwareVersion, string(e.software))
	}
	if id := r.Header.Get(wire.HeaderLastEventID); id != "" {
		n, err := strconv.Atoi(id)
		if err != nil || n < 0 {
			http.Error(w, "Last-Event-ID: expected a token offset", http.StatusBadRequest)
			return nil, false
		}
		s.nextToken = n + 1
	}
	if e.faults.SilentStreams > 0 {
		e.faults.SilentStreams--
		s.silentAfter = e.faults.SilentAfter
	}
	s.promptCached = e.cachePrompt(model, c)
	s.req = e.enqueue(r, s.totalTokens-s.nextToken)
	return s, true
}

// enqueue puts a request into the batch or its queue; the caller holds e.mu.
func (e *Engine) enqueue(r *http.Request, tokens int) *request {
	priority, _ := strconv.Atoi(r.Header.Get(wire.HeaderPriority))
	ctx, cancel := context.WithCancel(e.processCtx)
	req := &request{
		id: deck.RequestID(r.Header.Get(wire.HeaderRequestID)), priority: priority, tokens: tokens,
		ctx: ctx, cancel: cancel, scheduled: make(chan struct{}),
	}
	if req.id == "" {
		req.id = deck.RequestID(fmt.Sprintf("%p", req))
	}
	context.AfterFunc(r.Context(), cancel)
	e.batch.add(req, e.cfg.MaxBatch)
	e.accepted++
	return req
}

// cachePrompt caches the prompt's prefixes and reports whether any of them was already cached; the caller holds e.mu.
func (e *Engine) cachePrompt(model string, c completionRequest) bool {
	fields := make(map[string]json.RawMessage)
	if c.Messages != nil {
		fields["messages"] = c.Messages
	}
	if c.Prompt != nil {
		fields["prompt"] = c.Prompt
	}
	text, err := wire.PromptText(fields)
	if err != nil {
		return false // without a prompt there is nothing to cache
	}
	hit := false
	for _, h := range wire.PrefixHashes(model, text) {
		hit = hit || e.events.cached[h]
		e.events.add(h, e.faults.DropCacheEvents)
	}
	return hit
}

func (e *Engine) dequeue(r *request) {
	r.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.remove(r, e.cfg.MaxBatch)
}

// stepDuration returns base scaled by the batch size and the slow-factor fault.
func (e *Engine) stepDuration(base time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := len(e.batch.requests) - len(e.batch.waiting)
	f := 1 + batchSlowdown*float64(n-1)
	if e.faults.SlowFactor > 0 {
		f *= e.faults.SlowFactor
	}
	return time.Duration(float64(base) * f)
}

// writeAnswer streams the tokens. It aborts the connection without the done event if the request ends early, so that the reader
// sees that the answer is incomplete.
func (s *stream) writeAnswer(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	if !s.wait(w, rc, s.req.scheduled, nil) {
		panic(http.ErrAbortHandler)
	}
	prefill := s.engine.cfg.PrefillTime
	if s.promptCached {
		prefill /= 4
	}
	wait := s.engine.stepDuration(prefill)
	for s.nextToken < s.totalTokens {
		if !s.sleep(w, rc, wait) {
			panic(http.ErrAbortHandler)
		}
		s.writeToken(w)
		_ = rc.Flush()
		wait = s.engine.stepDuration(s.engine.cfg.TokenInterval)
	}
	if s.isSilent() {
		<-s.req.ctx.Done()
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", s.totalTokens, wire.DoneData)
	_ = rc.Flush()
}

func (s *stream) isSilent() bool {
	return s.silentAfter >= 0 && s.nextToken >= s.silentAfter
}

// sleep waits for d and sends keep-alive comments meanwhile; it returns false if the request ended first.
func (s *stream) sleep(w io.Writer, rc *http.ResponseController, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	return s.wait(w, rc, nil, t.C)
}

// wait sends keep-alive comments until ready or timer fires; it returns false if the request ended first.
func (s *stream) wait(w io.Writer, rc *http.ResponseController, ready <-chan struct{}, timer <-chan time.Time) bool {
	tick := time.NewTicker(wire.KeepAliveInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.req.ctx.Done():
			return false
		case <-ready:
			return s.req.ctx.Err() == nil
		case <-timer:
			return s.req.ctx.Err() == nil
		case <-tick.C:
			if !s.isSilent() {
				_, _ = io.WriteString(w, ": keep-alive\n\n")
				_ = rc.Flush()
			}
		}
	}
}

func (s *stream) writeToken(w io.Writer) {
	if s.isSilent() {
		<-s.req.ctx.Done()
		panic(http.ErrAbortHandler)
	}
	data := s.chunk(TokenText(s.body, s.nextToken, s.software))
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", s.nextToken, data)
	s.nextToken++
}

// chunk is one token in the inference API's streaming format.
type chunk struct {
	Object  string   `json:"object"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// bytesPerToken is the request size that counts as one prompt token, in place of a tokeniser.
const bytesPerToken = 4

// chunk returns the next token as JSON; the last one carries the finish reason and, on request, the token usage.
func (s *stream) chunk(text string) []byte {
	c := chunk{Object: "text_completion", Choices: []choice{{Text: text}}}
	if s.chat {
		c = chunk{Object: "chat.completion.chunk", Choices: []choice{{Delta: &delta{text}}}}
	}
	if s.nextToken+1 == s.totalTokens {
		reason := "stop"
		if s.hasTokenLimit {
			reason = "length"
		}
		c.Choices[0].FinishReason = &reason
		if s.includeUsage {
			prompt := 1 + len(s.body)/bytesPerToken
			c.Usage = &usage{prompt, s.totalTokens, prompt + s.totalTokens}
		}
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return data
}

func (e *Engine) cancelRequest(w http.ResponseWriter, r *http.Request) {
	var c wire.Cancel
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, wire.MaxJSONBytes)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(wire.HeaderBootID, e.bootID)
	if req, ok := e.batch.requests[deck.RequestID(c.RequestID)]; ok {
		req.cancel()
	}
	writeJSON(w, struct{}{})
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(wire.HeaderBootID, e.bootID)
	id := deck.RequestID(r.PathValue("id"))
	if _, ok := e.batch.requests[id]; !ok {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	_, _ = fmt.Fprintf(w, "kv of %s", id)
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(wire.HeaderBootID, e.bootID)
	e.kv[deck.RequestID(r.PathValue("id"))] = data
	writeJSON(w, struct{}{})
}
