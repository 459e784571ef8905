package ingress

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/backend/http1"
	"github.com/geraniumdeck/geraniumdeck/internal/core/blame"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/eventstream"
)

const (
	maxBufferedBytes  = 256 << 10 // read of a non-streaming answer before its head is relayed
	maxDiscardedBytes = 16 << 10  // read of an unwanted answer to keep its connection

	// minStall is the shortest pause after which a resumable stream is resumed on another engine. It is longer than the pause of
	// about a second of a request that its engine preempts for more urgent ones, and as long as callers wait before they
	// abandon a silent stream (see resumeTimeout), so only those that wait longer see the resumption.
	minStall = 2 * time.Second
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of the headers without hop-by-hop ones.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	out.Del("Content-Length") // set from the body
	out.Del("Expect")
	return out
}

// A bufferedAnswer is a server's complete answer, kept in memory so that another server can be tried before it is relayed.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (a *bufferedAnswer) write(w http.ResponseWriter) {
	writeHead(w, a.status, a.header, int64(len(a.body)))
	_, _ = w.Write(a.body) // fails only if the caller has disconnected
}

func writeHead(w http.ResponseWriter, status int, h http.Header, length int64) {
	out := w.Header()
	for name, values := range endToEndHeaders(h) {
		out[name] = values
	}
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // keeps net/http from detecting one
	}
	if length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(status)
}

// discard reads the rest of an unwanted answer to reuse its connection, or closes the connection if too much is left.
func discard(ex *http1.Exchange) {
	n, err := io.CopyN(io.Discard, ex.Response.Body, maxDiscardedBytes)
	if errors.Is(err, io.EOF) && n < maxDiscardedBytes {
		ex.Release()
		return
	}
	ex.Abort()
}

// relay forwards a server's answer to the caller.
func (c *callRun) relay(s deck.Server, ex *http1.Exchange) offerResult {
	resp := ex.Response
	if c.isStream(resp) {
		return c.relayStream(s, ex)
	}
	if c.headSent { // an interrupted stream, which only another stream can continue
		ex.Abort()
		c.possibleRuns++
		c.logFailedOffer(s, "server did not resume the stream", "status", resp.StatusCode)
		return c.retryResult()
	}
	return c.relayBuffered(s, ex)
}

// relayBuffered reads the whole answer before relaying it, so that another server can be tried if the connection breaks.
func (c *callRun) relayBuffered(s deck.Server, ex *http1.Exchange) offerResult {
	body, err := c.readAhead(ex.Response)
	now := time.Now()
	c.possibleRuns++
	c.framing = framingOf(ex.Response)
	if errors.Is(err, io.EOF) && eventstream.IsBrokenOff(ex.Response.Header, body) {
		err = io.ErrUnexpectedEOF
	}
	switch {
	case err == nil:
		return c.relayLarge(s, ex, body)
	case !errors.Is(err, io.EOF):
		ex.Abort()
		c.logFailedOffer(s, "answer interrupted: "+err.Error())
		if c.ctx.Err() == nil {
			c.h.Balancer.RecordResult(now, s.ID, true)
			c.recordPossibleCrash(now, s, err)
		}
		return c.retryResult()
	}
	ex.Release()
	c.firstByte = now.Sub(c.start)
	a := &bufferedAnswer{ex.Response.StatusCode, ex.Response.Header, body}
	bad := a.status >= http.StatusInternalServerError
	c.h.Balancer.RecordResult(now, s.ID, bad)
	if !bad && c.unqueued {
		c.h.Balancer.RecordSlotTime(c.service, now.Sub(c.sentAt))
	}
	if bad && c.ctx.Err() == nil && c.retryResult() == tryAnother {
		c.logFailedOffer(s, "server answered with an error", "status", a.status)
		c.fallback = a
		return tryAnother
	}
	if a.status < http.StatusMultipleChoices {
		c.recordCompletion(now)
	}
	c.recordEnd(a.status, "answered")
	a.write(c.w)
	return answered
}

// relayLarge relays an answer that is too large to buffer; head is the part that has been read.
func (c *callRun) relayLarge(s deck.Server, ex *http1.Exchange, head []byte) offerResult {
	c.headSent = true
	c.firstByte = time.Since(c.start)
	writeHead(c.w, ex.Response.StatusCode, ex.Response.Header, ex.Response.ContentLength)
	_, err := c.w.Write(head)
	var end tailWriter
	_, _ = end.Write(head) // never fails
	body := &errorKeeper{reader: ex.Response.Body}
	if err == nil {
		err = c.copyRest(io.TeeReader(body, &end))
	}
	if err == nil && eventstream.IsBrokenOff(ex.Response.Header, end.last) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		ex.Abort()
		c.logFailedOffer(s, "answer interrupted: "+err.Error())
		if body.err != nil && c.ctx.Err() == nil {
			c.recordPossibleCrash(time.Now(), s, body.err)
		}
		return failed
	}
	ex.Release()
	c.recordEnd(ex.Response.StatusCode, "answered")
	return answered
}

// An errorKeeper keeps the error with which reading ended, which io.Copy does not tell from one of writing.
type errorKeeper struct {
	reader io.Reader
	err    error // nil at the end of the data
}

// Read implements io.Reader.Read.
func (k *errorKeeper) Read(p []byte) (int, error) {
	n, err := k.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		k.err = err
	}
	return n, err
}

// abortAnswer aborts the connection, so that the caller does not take a partial answer for a complete one. An answer to HTTP/1.0 ends
// with its connection, which must therefore be reset instead of closed.
func abortAnswer(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
				_ = tcp.SetLinger(0) // fails only if the connection is closed already
			}
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// A tailWriter keeps the last bytes written to it, enough to see whether a stream ended within an event.
type tailWriter struct {
	last []byte
}

const tailBytes = 4 // two line ends

// Write implements io.Writer.Write.
func (t *tailWriter) Write(p []byte) (int, error) {
	t.last = append(t.last, p[max(0, len(p)-tailBytes):]...)
	t.last = t.last[max(0, len(t.last)-tailBytes):]
	return len(p), nil
}

// relayStream relays events as they arrive. It never relays a partial event, so that another engine can continue after the last
// complete one.
func (c *callRun) relayStream(s deck.Server, ex *http1.Exchange) offerResult {
	c.possibleRuns++
	c.framing, c.headReceived = framingOf(ex.Response), true
	defer c.countStream()
	stallLimit := c.stallLimit()
	stallTimer := time.AfterFunc(stallLimit, c.abortOnStall(ex.Abort))
	defer stallTimer.Stop()
	events := newEventReader(ex.Response.Body, c.lastEventID, c.openAhead())
	if !c.headSent {
		c.headSent = true
		c.firstByte = time.Since(c.start)
		writeHead(c.w, ex.Response.StatusCode, ex.Response.Header, -1)
	}
	flusher := http.NewResponseController(c.w)
	lastRead := time.Now()
	sound := false // the server has written for long enough to prove the prompt
	for {
		data, err := events.next()
		now := time.Now()
		if events.fields || err != nil { // comments and blank lines are no progress
			c.maxGap = max(c.maxGap, now.Sub(lastRead))
			c.h.Balancer.RecordEventGap(now, s.ID, now.Sub(lastRead), c.route.EventGapTarget)
			lastRead = now
			stallTimer.Reset(stallLimit)
		}
		if errors.Is(err, io.EOF) && c.isBrokenOff(events, data) {
			err, data = io.ErrUnexpectedEOF, nil
		}
		if len(data) > 0 {
			if c.events == 0 && events.fields {
				c.recordOrigin(s)
			}
			if c.firstEvent.IsZero() && events.fields {
				c.firstEvent = now // the call occupies a slot from then on
			}
			if !sound && !c.firstEvent.IsZero() && now.Sub(c.firstEvent) > blame.SuspiciousWriting {
				sound = true
				c.h.Poison.RecordSound(now, c.parts)
			}
			if _, werr := c.w.Write(data); werr != nil {
				ex.Abort()
				return failed
			}
			if ferr := flusher.Flush(); ferr != nil {
				ex.Abort()
				return failed
			}
			c.lastEventID = events.lastID
			if events.fields {
				c.events++
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if stallTimer.Stop() {
				ex.Release()
			} else {
				ex.Abort() // the stall timer has fired and may yet abort this connection, so no other call may reuse it
			}
			c.h.Balancer.RecordResult(now, s.ID, false)
			if !c.firstEvent.IsZero() {
				c.h.Balancer.RecordSlotTime(c.service, now.Sub(c.firstEvent))
			}
			c.recordCompletion(now)
			c.recordEnd(http.StatusOK, "answered")
			return answered
		default:
			ex.Abort()
			return c.handleStreamError(s, err)
		}
	}
}

// isBrokenOff reports whether a stream that has come to its end was broken off; rest is what it ended with after its last event.
// Without a length or chunks, a stream without any event has lost its connection.
func (c *callRun) isBrokenOff(events *eventReader, rest []byte) bool {
	if c.framing == framedByConnection {
		return len(rest) > 0 || !events.hasEvents
	}
	return len(rest) > 0 && events.fields
}

// countStream counts an ended stream of a model, for the decision of how many copies the models need.
func (c *callRun) countStream() {
	if c.requirements.Model == "" {
		return
	}
	late := c.route.LatencyTarget > 0 && c.firstByte > c.route.LatencyTarget ||
		c.route.EventGapTarget > 0 && c.maxGap > c.route.EventGapTarget
	c.h.Demand.RecordStream(c.service, c.requirements.Model, late)
}

func (c *callRun) handleStreamError(s deck.Server, err error) offerResult {
	c.logFailedOffer(s, "stream interrupted: "+err.Error(), "last-event", c.lastEventID, "events", c.events,
		"framing", string(c.framing))
	if c.ctx.Err() != nil {
		return failed
	}
	now := time.Now()
	c.h.Balancer.RecordResult(now, s.ID, true)
	c.recordPossibleCrash(now, s, err)
	delete(c.requirements.Tried, s.ID) // an engine that broke one connection may continue the stream on another
	c.interruptedAt = now
	c.requirements.MaxWait = c.resumeTimeout()
	return c.retryResult()
}

// stallLimit returns the shortest pause after which a stream is resumed on another engine.
func (c *callRun) stallLimit() time.Duration {
	return max(c.h.minStall(), c.route.LatencyTarget)
}

func (h *Handler) minStall() time.Duration {
	if h.MinStall > 0 {
		return h.MinStall
	}
	return minStall
}

// abortOnStall returns the function that the stall timer runs: it aborts the exchange if another server can continue the stream.
// A pause alone does not end an answer.
func (c *callRun) abortOnStall(abort func()) func() {
	resumable := c.retryResult() == tryAnother
	hasAlternative := c.alternativeFinder()
	return func() {
		if resumable && hasAlternative() {
			abort()
		}
	}
}
