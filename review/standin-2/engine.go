package main

import (
	"net/http"
	"sync"
	"time"
)

// engineOptions say what an engine serves.
type engineOptions struct {
	service string
	slots   int
}

const (
	headerAttempt   = "Geraniumdeck-Attempt-Id"
	headerExpect    = "Geraniumdeck-Expect-Instance"
	headerSignature = "Geraniumdeck-Response-Signature"
	headerNotRun    = "Geraniumdeck-Not-Executed"
	headerInstance  = "Geraniumdeck-Instance-Id"

	healthPath = "/health"
)

// An engine stands in for a sound backend server of a plain service. It answers with the name of its service.
type engine struct {
	options engineOptions
	addr    string
	zone    string
	id      string
	born    int64
	record  *record
	server  *http.Server
	group   sync.WaitGroup
}

func newEngine(o engineOptions, addr, zone, id string, rec *record) (*engine, error) {
	l, err := listen(addr)
	if err != nil {
		return nil, err
	}
	e := &engine{options: o, addr: addr, zone: zone, id: id, born: time.Now().UnixMilli(), record: rec}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	e.group.Go(func() { _ = e.server.Serve(l) }) // returns after close
	return e, nil
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(headerAttempt)
	if attempt != "" {
		w.Header().Set(headerAttempt, attempt)
	}
	switch {
	case r.Header.Get(headerExpect) != "" && r.Header.Get(headerExpect) != e.id:
		w.Header().Set(headerInstance, e.id)
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == healthPath:
		w.Header().Set(headerInstance, e.id)
		w.WriteHeader(http.StatusOK)
	case attempt == "":
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
	default:
		e.record.addf("engine %s of %s runs %s", e.id, e.options.service, attempt)
		w.Header().Set(headerSignature, "signed-"+e.id+"-"+attempt)
		_, _ = w.Write([]byte(e.options.service)) // the caller may have left
	}
}

// listEntry returns the engine's entry in the platform's list.
func (e *engine) listEntry() any {
	return map[string]any{
		"id": e.id, "service": e.options.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": e.options.slots,
		"state": "ready", "coldLeftMs": 0, "born": e.born,
	}
}

func (e *engine) close() {
	_ = e.server.Close()
	e.group.Wait()
}
