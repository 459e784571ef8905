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
	maxBody          = 16 << 20
	defaultMaxTokens = 16
)

// A completion is the part of the inference API's request that the emulator reads.
type completion struct {
	Model     string          `json:"model"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`

	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// Answer returns the text of token i of the answer to a body, so that tests can check whose answer they got.
func Answer(body []byte, i int) string {
	return fmt.Sprintf("%08x-%d ", uint32(xxhash.Sum64(body)), i)
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	limited := c.MaxTokens > 0
	if !limited {
		c.MaxTokens = defaultMaxTokens
	}
	s, ok := e.admit(w, r, c, body)
	if !ok {
		return
	}
	defer e.leave(s.req)
	s.limited, s.usage = limited, c.StreamOptions.IncludeUsage
	s.run(w)
}

// A stream is one answer on its way out.
type stream struct {
	engine  *Engine
	req     *request
	body    []byte
	chat    bool
	next    int // offset of the next token
	total   int
	limited bool // the answer ends at the caller's limit
	usage   bool // the last chunk tells the tokens used
	silent  int  // token count after which nothing more is sent; negative for never
	warm    bool
}

// admit checks the request against the engine's state and enters it into the batch.
func (e *Engine) admit(w http.ResponseWriter, r *http.Request, c completion, body []byte) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(wire.HeaderBootID, e.boot)
	if e.faults.Draining {
		w.Header().Set(wire.HeaderDraining, "true")
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return nil, false
	}
	model, _, _ := strings.Cut(c.Model, ":")
	version := deck.VersionName(r.Header.Get(wire.HeaderModelVersion))
	if !e.memory.has(deck.ModelName(model), version) {
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return nil, false
	}
	if a := deck.AdapterName(r.Header.Get(wire.HeaderAdapter)); a != "" {
		if _, ok := e.memory.adapters[a]; !ok {
			http.Error(w, "adapter is not loaded", http.StatusNotFound)
			return nil, false
		}
	}
	if e.faults.CrashOn != "" && strings.Contains(string(body), e.faults.CrashOn) {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	s := &stream{engine: e, body: body, chat: r.URL.Path == wire.PathChatCompletions, total: c.MaxTokens, silent: -1}
	if id := r.Header.Get(wire.HeaderLastEventID); id != "" {
		n, err := strconv.Atoi(id)
		if err != nil || n < 0 {
			http.Error(w, "Last-Event-ID: expected a token offset", http.StatusBadRequest)
			return nil, false
		}
		s.next = n + 1
	}
	if e.faults.SilentStreams > 0 {
		e.faults.SilentStreams--
		s.silent = e.faults.SilentAfter
	}
	s.warm = e.remember(model, c)
	s.req = e.enter(r, s.total-s.next)
	return s, true
}

// enter puts a request into the batch; the caller holds the lock.
func (e *Engine) enter(r *http.Request, tokens int) *request {
	priority, _ := strconv.Atoi(r.Header.Get(wire.HeaderPriority))
	ctx, cancel := context.WithCancel(e.life)
	req := &request{
		id: deck.RequestID(r.Header.Get(wire.HeaderRequestID)), priority: priority, tokens: tokens,
		ctx: ctx, cancel: cancel, turn: make(chan struct{}),
	}
	if req.id == "" {
		req.id = deck.RequestID(fmt.Sprintf("%p", req))
	}
	context.AfterFunc(r.Context(), cancel)
	e.batch.add(req, e.cfg.MaxBatch)
	e.accepted++
	return req
}

// remember stores the prompt's prefixes and reports whether the first one was cached; the caller holds the lock.
func (e *Engine) remember(model string, c completion) bool {
	fields := make(map[string]json.RawMessage)
	if c.Messages != nil {
		fields["messages"] = c.Messages
	}
	if c.Prompt != nil {
		fields["prompt"] = c.Prompt
	}
	text, err := wire.Prompt(fields)
	if err != nil {
		return false // without a prompt there is nothing to cache
	}
	warm := false
	for _, h := range wire.Prefixes(model, text) {
		warm = warm || e.events.known[h]
		e.events.store(h, e.faults.DropCacheEvents)
	}
	return warm
}

func (e *Engine) leave(r *request) {
	r.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.remove(r, e.cfg.MaxBatch)
}

// step returns the time until the next token under the present batch and faults.
func (e *Engine) step(base time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := len(e.batch.running) - len(e.batch.waiting)
	f := 1 + batchCost*float64(n-1)
	if e.faults.SlowFactor > 0 {
		f *= e.faults.SlowFactor
	}
	return time.Duration(float64(base) * f)
}

// run sends the tokens; an end without the done event tells the reader that the answer is incomplete.
func (s *stream) run(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	if !s.wait(w, rc, s.req.turn, nil) {
		panic(http.ErrAbortHandler)
	}
	prefill := s.engine.cfg.PrefillTime
	if s.warm {
		prefill /= 4
	}
	wait := s.engine.step(prefill)
	for s.next < s.total {
		if !s.pause(w, rc, wait) {
			panic(http.ErrAbortHandler)
		}
		s.token(w)
		_ = rc.Flush()
		wait = s.engine.step(s.engine.cfg.TokenInterval)
	}
	if s.muted() {
		<-s.req.ctx.Done()
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", s.total, wire.Done)
	_ = rc.Flush()
}

func (s *stream) muted() bool {
	return s.silent >= 0 && s.next >= s.silent
}

// pause waits for d and sends keep-alive comments meanwhile.
func (s *stream) pause(w io.Writer, rc *http.ResponseController, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	return s.wait(w, rc, nil, t.C)
}

// wait sends keep-alive comments until ready or fired; it returns false if the request ended first.
func (s *stream) wait(w io.Writer, rc *http.ResponseController, ready <-chan struct{}, fired <-chan time.Time) bool {
	tick := time.NewTicker(wire.KeepAlive)
	defer tick.Stop()
	for {
		select {
		case <-s.req.ctx.Done():
			return false
		case <-ready:
			return s.req.ctx.Err() == nil
		case <-fired:
			return s.req.ctx.Err() == nil
		case <-tick.C:
			if !s.muted() {
				_, _ = io.WriteString(w, ": keep-alive\n\n")
				_ = rc.Flush()
			}
		}
	}
}

func (s *stream) token(w io.Writer) {
	if s.muted() {
		<-s.req.ctx.Done()
		panic(http.ErrAbortHandler)
	}
	data := s.chunk(Answer(s.body, s.next))
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", s.next, data)
	s.next++
}

// A chunk is a token in the inference API's form.
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

// bytesPerToken stands for a tokeniser.
const bytesPerToken = 4

// chunk returns the next token; the last one tells why the answer ends and what it has used.
func (s *stream) chunk(text string) []byte {
	c := chunk{Object: "text_completion", Choices: []choice{{Text: text}}}
	if s.chat {
		c = chunk{Object: "chat.completion.chunk", Choices: []choice{{Delta: &delta{text}}}}
	}
	if s.next+1 == s.total {
		reason := "stop"
		if s.limited {
			reason = "length"
		}
		c.Choices[0].FinishReason = &reason
		if s.usage {
			prompt := 1 + len(s.body)/bytesPerToken
			c.Usage = &usage{prompt, s.total, prompt + s.total}
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
	w.Header().Set(wire.HeaderBootID, e.boot)
	if req, ok := e.batch.running[deck.RequestID(c.RequestID)]; ok {
		req.cancel()
	}
	writeJSON(w, struct{}{})
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(wire.HeaderBootID, e.boot)
	id := deck.RequestID(r.PathValue("id"))
	if _, ok := e.batch.running[id]; !ok {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	_, _ = fmt.Fprintf(w, "kv of %s", id)
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(wire.HeaderBootID, e.boot)
	e.kv[deck.RequestID(r.PathValue("id"))] = data
	writeJSON(w, struct{}{})
}
