package ingress

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/blame"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/httpresponse"
)

// isPoison reports whether the call, or a part of its prompt, crashes servers.
func (c *callRun) isPoison() bool {
	if c.onTrial {
		return c.possibleRuns > 0
	}
	refused, trial := c.h.Poison.Refuses(time.Now(), c.fingerprint(), c.withRepetitions(c.parts))
	if trial {
		c.onTrial = true
		c.h.Log.Info("call is tried although calls with the same content crashed servers", "request", string(c.call.ID))
	}
	return refused
}

// awaitIsolation waits until no call of this VM is in progress that has a suspect one crash short of a verdict in common with this one. Only
// calls without content wait; their calls are short.
func (c *callRun) awaitIsolation() (release func(), ok bool) {
	for {
		if release, ok = c.h.Poison.Isolate(c.repetitions); ok || time.Since(c.start) >= c.maxAdmissionWait() {
			return release, ok
		}
		select {
		case <-c.ctx.Done():
			return nil, false
		case <-time.After(pickInterval):
		}
	}
}

// refusePoison refuses a call that crashes servers.
func (c *callRun) refusePoison() {
	if c.possibleRuns > 0 {
		c.fail()
		return
	}
	const reason = "the request or a part of its prompt has crashed several servers"
	c.recordEnd(http.StatusUnprocessableEntity, reason)
	writeError(c.w, errorResponse{http.StatusUnprocessableEntity, 0, reason})
}

// recordPossibleCrash counts an interrupted call as a possible crash of the server. It is called for any error but errNoAnswer
// after the call was sent, and for any error within an answer, also if the stall timer aborted the stream. A server that sends a malformed
// answer still runs.
func (c *callRun) recordPossibleCrash(now time.Time, s deck.Server, err error) {
	if errors.Is(err, httpresponse.ErrMalformed) {
		return
	}
	c.logSuspect(s)
	c.h.Poison.RecordCrash(now, InterruptedCall{
		Fingerprint: c.fingerprint(), Server: s, Parts: c.withRepetitions(c.suspectParts(now, err)), SentAt: c.sentAt, Began: c.headReceived,
	})
	if c.h.OnCrash != nil {
		c.h.OnCrash()
	}
}

// withRepetitions adds what the call has in common with its repetitions to parts of its prompt.
func (c *callRun) withRepetitions(parts []uint64) []uint64 {
	return append(parts[:len(parts):len(parts)], c.repetitions...)
}

// repetitionFingerprints returns the fingerprints of what repetitions of a request without content have in common: the target with the
// caller, since other callers' requests of it may be sound, and the target, which may crash servers whoever asks for it. The latter
// is blamed if nothing tells them apart.
func repetitionFingerprints(r *http.Request) []uint64 {
	return []uint64{blame.PartFingerprint(callerAddress(r) + " " + r.Method + " " + r.Host + r.RequestURI), targetFingerprint(r)}
}

// targetFingerprint returns the fingerprint of a request's method, host, path and query.
func targetFingerprint(r *http.Request) uint64 {
	return blame.PartFingerprint(r.Method + " " + r.Host + r.RequestURI)
}

// callerAddress returns the caller's address without its port.
func callerAddress(r *http.Request) string {
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return caller
}

// recordCompletion records that the call's answer is complete. One that ended with its connection may have been cut off by a crash, so
// it proves nothing.
func (c *callRun) recordCompletion(now time.Time) {
	if c.framing != framedByConnection {
		c.h.Poison.RecordCompletion(now, c.fingerprint(), c.withRepetitions(c.parts))
	}
}

// logSuspect logs what an interrupted call may have crashed the server with.
func (c *callRun) logSuspect(s deck.Server) {
	parts := make([]string, 0, len(c.call.Parts))
	for _, p := range c.call.Parts {
		parts = append(parts, p.ID)
	}
	repetitions := make([]string, 0, len(c.repetitions))
	for _, f := range c.repetitions {
		repetitions = append(repetitions, strconv.FormatUint(f, 16))
	}
	c.h.Log.Info("call suspected of a crash", "request", string(c.call.ID), "server", string(s.ID),
		"fingerprint", strconv.FormatUint(uint64(c.fingerprint()), 16), "prompt-parts", parts, "head-received", c.headReceived,
		"events", c.events, "elapsed-ms", time.Since(c.start).Milliseconds(), "repetitions", repetitions,
		"target", strconv.FormatUint(targetFingerprint(c.r), 16), "caller", callerAddress(c.r))
}

// partFingerprints returns the fingerprints of the parts of a prompt.
func partFingerprints(parts []deck.PromptPart) []uint64 {
	out := make([]uint64, 0, len(parts))
	for _, part := range parts {
		out = append(out, blame.PartFingerprint(part.ID))
	}
	return out
}

// fingerprint returns a hash of the call's path and body, or without a body of the path and the parts of its prompt. A call without any
// content has one of its own, since unrelated calls often have the same path.
func (c *callRun) fingerprint() Fingerprint {
	if c.hash == 0 {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(c.r.RequestURI) // hashing never fails
		_, _ = d.Write(c.body)
		for i := 0; len(c.body) == 0 && i < len(c.call.Parts); i++ {
			_, _ = d.WriteString(" " + c.call.Parts[i].ID)
		}
		if len(c.repetitions) > 0 {
			_, _ = d.WriteString(" " + string(c.call.ID) + c.start.String())
		}
		c.hash = Fingerprint(d.Sum64())
	}
	return c.hash
}

// suspectParts returns the parts of the call's prompt that may have crashed the server, which interrupted the call with the error.
func (c *callRun) suspectParts(now time.Time, err error) []uint64 {
	if !closedByServer(err) || !c.firstEvent.IsZero() && now.Sub(c.firstEvent) > blame.SuspiciousWriting {
		return nil
	}
	return c.parts
}
