package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engineOptions say what an engine holds and how it runs requests.
type engineOptions struct {
	service      string
	slots        int
	models       []string // held at the start; empty for the engines of a plain service
	adapterSlots int
	maxModels    int
	loadTime     time.Duration // of a model

	startTime     time.Duration // until a request that was admitted begins to run
	events        int           // of a stream
	eventInterval time.Duration
	downTime      time.Duration // after a crash
}

const (
	adapterLoadTime  = 7 * time.Millisecond
	maxAdapterLoads  = 4
	engineIdleTime   = 30 * time.Second // after which an idle connection is closed
	headerAttempt    = "Geraniumdeck-Attempt-Id"
	headerExpect     = "Geraniumdeck-Expect-Instance"
	headerModel      = "Geraniumdeck-Model"
	headerPrefix     = "Geraniumdeck-Prompt-Prefix"
	headerSignature  = "Geraniumdeck-Response-Signature"
	headerNotRun     = "Geraniumdeck-Not-Executed"
	headerInstance   = "Geraniumdeck-Instance-Id"
	headerServerLoad = "Geraniumdeck-Server-Load"
)

// An engine stands in for a backend server. Its hooks must be set before requests come.
type engine struct {
	options engineOptions
	addr    string
	zone    string
	index   int
	record  *record

	// copyLate decides for each answer whether the engine sends a second copy of it late, where the next answer on the channel is
	// expected; nil for never.
	copyLate func() bool

	// crashesOn decides whether a request crashes the engine when that begins to write the answer; nil for never.
	crashesOn func(r *http.Request) bool

	onRun func(e *engine, r *http.Request) // called when a request begins to run

	group sync.WaitGroup

	mu           sync.Mutex
	listener     net.Listener
	conns        map[net.Conn]bool
	down, closed bool
	incarnation  int
	born         int64
	seq, fence   uint64
	holder       string
	running      int
	models       map[string]map[string]*heldAdapter
	runs         map[string]int // running requests by model
	busy         bool           // an order about a model is being carried out
	leavingModel string         // waits for its runs to end before it is dropped
	comingModel  string         // is being loaded
}

// A heldAdapter is an adapter in an engine's memory.
type heldAdapter struct {
	readyAt   time.Time
	running   int
	unloading bool // once no request uses it
}

func newEngine(o engineOptions, addr, zone string, index int, rec *record) (*engine, error) {
	e := &engine{options: o, addr: addr, zone: zone, index: index, record: rec, conns: make(map[net.Conn]bool)}
	return e, e.start()
}

// start begins a new lifetime. The models of the start are at hand in it.
func (e *engine) start() error {
	l, err := listen(e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return l.Close()
	}
	e.incarnation++
	e.listener, e.down, e.born = l, false, time.Now().UnixMilli()
	e.seq, e.fence, e.holder, e.running = 0, 0, "", 0
	e.models, e.runs = make(map[string]map[string]*heldAdapter), make(map[string]int)
	e.busy, e.leavingModel, e.comingModel = false, "", ""
	for _, m := range e.options.models {
		e.models[m] = make(map[string]*heldAdapter)
	}
	e.group.Go(func() { e.accept(l) })
	return nil
}

func (e *engine) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.down || e.closed {
			_ = c.Close()
		} else {
			e.conns[c] = true
			e.group.Go(func() { e.serve(c) })
		}
		e.mu.Unlock()
	}
}

// crash ends the lifetime: all channels are reset. The engine is back after downTime.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.closed {
		return
	}
	e.stop()
	e.record.addf("engine %s crashes", e.id())
	e.group.Go(func() {
		for {
			time.Sleep(e.options.downTime)
			if e.start() == nil {
				return
			}
		}
	})
}

// stop closes the listener and all channels. The caller holds the lock.
func (e *engine) stop() {
	e.down = true
	_ = e.listener.Close()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(e.conns)
}

func (e *engine) close() {
	e.mu.Lock()
	e.closed = true
	if !e.down {
		e.stop()
	}
	e.mu.Unlock()
	e.group.Wait()
}

// id returns the engine's ID, which is another one in each lifetime.
func (e *engine) id() string {
	return fmt.Sprintf("i-%02d-%d", e.index, e.incarnation)
}

// listEntry returns the engine's entry in the platform's list; ok is false while it is down.
func (e *engine) listEntry() (entry any, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"id": e.id(), "service": e.options.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": e.options.slots,
		"state": "ready", "coldLeftMs": 0, "stage": "unified", "models": e.heldModels(), "born": e.born,
	}, !e.down && !e.closed
}

// heldModels returns what the engine holds, without adapters on their way. The caller holds the lock.
func (e *engine) heldModels() []any {
	out := []any{}
	for _, m := range slices.Sorted(maps.Keys(e.models)) {
		adapters := []string{}
		for a, h := range e.models[m] {
			if !h.unloading && !time.Now().Before(h.readyAt) {
				adapters = append(adapters, a)
			}
		}
		slices.Sort(adapters)
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": adapters})
	}
	return out
}

// An answer is a complete response.
type answer struct {
	status int
	header map[string]string
	body   string
}

func (a answer) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for name, value := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	return b.Bytes()
}

// serve serves the requests of one channel one after the other.
func (e *engine) serve(c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	var late []byte // second copy of the answer to lateOf
	var lateOf string
	for {
		_ = c.SetReadDeadline(time.Now().Add(engineIdleTime))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if late != nil {
			e.record.addf("engine %d sends a late copy of its answer to %s before the one to %s %s", e.index, lateOf, r.URL.Path, r.Header.Get(headerAttempt))
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		sent, err := e.handle(c, r, body)
		if err != nil {
			return
		}
		if r.Header.Get(headerAttempt) != "" && e.copyLate != nil && e.copyLate() {
			late, lateOf = sent, r.Header.Get(headerAttempt)
		}
	}
}

// handle answers a request and returns the bytes of the answer.
func (e *engine) handle(c net.Conn, r *http.Request, body []byte) (sent []byte, err error) {
	e.mu.Lock()
	id := e.id()
	e.mu.Unlock()
	if want := r.Header.Get(headerExpect); want != "" && want != id {
		return send(c, answer{http.StatusMisdirectedRequest, map[string]string{
			headerInstance: id, headerNotRun: "1", headerAttempt: r.Header.Get(headerAttempt),
		}, ""})
	}
	switch r.URL.Path {
	case "/geraniumdeck/report":
		return send(c, e.report())
	case "/geraniumdeck/order":
		return send(c, e.order(body))
	case "/health":
		return send(c, answer{http.StatusOK, map[string]string{headerInstance: id, headerServerLoad: e.load()}, ""})
	}
	return e.call(c, r)
}

func send(c net.Conn, a answer) ([]byte, error) {
	data := a.bytes()
	_, err := c.Write(data)
	return data, err
}

// load returns the numbers of requests running and waiting, and of slots.
func (e *engine) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", min(e.running, e.options.slots), max(0, e.running-e.options.slots), e.options.slots)
}

func (e *engine) report() answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	coming := []string{}
	for m, adapters := range e.models {
		for a, h := range adapters {
			if time.Now().Before(h.readyAt) {
				coming = append(coming, m+"/"+a+"@1")
			}
		}
	}
	return jsonAnswer(map[string]any{
		"stage": "unified", "models": e.heldModels(), "busy": e.busy, "seq": e.seq, "waiting": 0, "running": e.running, "kvUsed": 0,
		"kvTotal": 100000, "handles": 0, "born": e.born, "state": "ready", "coming": coming,
		"atHand": map[string]any{"inMemory": e.options.models, "onDisk": e.options.models},
	})
}

func jsonAnswer(v any) answer {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain values can always be marshalled
	}
	return answer{http.StatusOK, map[string]string{"Content-Type": "application/json"}, string(data)}
}

// order carries out an order.
func (e *engine) order(body []byte) answer {
	var o struct {
		Operation, Model, Adapter, Holder string
		Expect                            *uint64
		Fence                             uint64
	}
	if err := json.Unmarshal(body, &o); err != nil || o.Holder == "" || o.Fence == 0 {
		return answer{status: http.StatusBadRequest}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		return answer{status: http.StatusPreconditionFailed}
	}
	e.fence, e.holder = o.Fence, o.Holder
	if o.Expect != nil && *o.Expect != e.seq {
		return answer{status: http.StatusConflict}
	}
	var status int
	if o.Adapter == "" {
		status = e.carryOutModel(o.Operation, o.Model)
	} else {
		status = e.carryOutAdapter(o.Operation, o.Model, o.Adapter)
	}
	e.record.addf("engine %s is ordered to %s %s/%s by %s: %d", e.id(), o.Operation, o.Model, o.Adapter, o.Holder, status)
	return answer{status: status}
}

// carryOutModel carries out an order about a model and returns its status. The caller holds the lock.
func (e *engine) carryOutModel(operation, model string) int {
	_, held := e.models[model]
	switch {
	case held == (operation == "load") && e.leavingModel != model:
		return http.StatusOK
	case e.busy:
		return http.StatusConflict
	}
	e.busy = true
	e.seq++
	if operation == "unload" {
		e.leavingModel = model
		e.dropModel()
		return http.StatusAccepted
	}
	e.comingModel = model
	if len(e.models) >= e.options.maxModels {
		e.record.addf("engine %s is ordered to hold more models than it can", e.id())
	}
	lifetime := e.incarnation
	time.AfterFunc(e.options.loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if lifetime == e.incarnation {
			e.models[model], e.comingModel, e.busy = make(map[string]*heldAdapter), "", false
		}
	})
	return http.StatusAccepted
}

// dropModel drops the model that is to leave once it has no running requests. The caller holds the lock.
func (e *engine) dropModel() {
	if e.leavingModel != "" && e.runs[e.leavingModel] == 0 {
		delete(e.models, e.leavingModel)
		e.leavingModel, e.busy = "", false
	}
}

// carryOutAdapter carries out an order about an adapter and returns its status. The caller holds the lock.
func (e *engine) carryOutAdapter(operation, model, adapter string) int {
	adapters, ok := e.models[model]
	if !ok || e.leavingModel == model {
		return http.StatusConflict
	}
	held := adapters[adapter]
	if operation == "unload" {
		if held == nil {
			return http.StatusOK
		}
		e.seq++
		if held.running > 0 {
			held.unloading = true
			return http.StatusAccepted
		}
		delete(adapters, adapter)
		return http.StatusOK
	}
	if held != nil && !held.unloading {
		return http.StatusOK
	}
	total, coming := 0, 0
	for _, a := range e.models {
		for _, h := range a {
			total++
			if time.Now().Before(h.readyAt) {
				coming++
			}
		}
	}
	if held != nil || coming >= maxAdapterLoads {
		return http.StatusConflict
	}
	if total >= e.options.adapterSlots {
		e.record.addf("engine %s is ordered to hold more adapters than it can", e.id())
		return http.StatusConflict
	}
	adapters[adapter] = &heldAdapter{readyAt: time.Now().Add(adapterLoadTime)}
	e.seq++
	return http.StatusAccepted
}

// use takes a slot and the model and adapter of a request into use. The status is 0 if that is possible, and otherwise the one of the
// refusal.
func (e *engine) use(model string) (release func(), status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	name, a, _ := strings.Cut(model, "/")
	adapters, held := e.models[name]
	adapter := adapters[a]
	switch {
	case name != "" && !held && name != e.comingModel || a != "" && adapter == nil:
		return nil, http.StatusMisdirectedRequest
	case name != "" && (name == e.leavingModel || name == e.comingModel): // the order about it is not complete
		return nil, http.StatusServiceUnavailable
	case adapter != nil && (adapter.unloading || time.Now().Before(adapter.readyAt)):
		return nil, http.StatusServiceUnavailable
	case e.running >= 2*e.options.slots:
		return nil, http.StatusServiceUnavailable
	}
	e.running++
	e.runs[name]++
	if adapter != nil {
		adapter.running++
	}
	lifetime := e.incarnation
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if lifetime != e.incarnation {
			return
		}
		e.running--
		e.runs[name]--
		e.dropModel()
		if adapter == nil {
			return
		}
		if adapter.running--; adapter.running == 0 && adapter.unloading {
			delete(adapters, a)
		}
	}, 0
}

// call runs a caller's request.
func (e *engine) call(c net.Conn, r *http.Request) (sent []byte, err error) {
	attempt := r.Header.Get(headerAttempt)
	if attempt == "" {
		return send(c, answer{http.StatusBadRequest, map[string]string{headerNotRun: "1"}, ""})
	}
	release, status := e.use(r.Header.Get(headerModel))
	if status != 0 {
		e.record.addf("engine %d answers %d to %s", e.index, status, attempt)
		return send(c, answer{status, map[string]string{
			headerNotRun: "1", headerAttempt: attempt, headerServerLoad: e.load(),
		}, ""})
	}
	defer release()
	time.Sleep(e.options.startTime)
	e.record.addf("engine %d runs %s", e.index, attempt)
	if e.onRun != nil {
		e.onRun(e, r)
	}
	return e.stream(c, r, attempt)
}

// stream sends the events of an answer after the one that the request names.
func (e *engine) stream(c net.Conn, r *http.Request, attempt string) (sent []byte, err error) {
	var all bytes.Buffer
	write := func(text string) error {
		all.WriteString(text)
		_, err := io.WriteString(c, text)
		return err
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + headerAttempt + ": " + attempt +
		"\r\n" + headerSignature + ": signed-" + strconv.Itoa(e.index) + "-" + attempt + "\r\n" + headerServerLoad + ": " + e.load() + "\r\n\r\n"
	if err := write(head); err != nil {
		return nil, err
	}
	if e.crashesOn != nil && e.crashesOn(r) {
		e.crash()
		return nil, io.ErrUnexpectedEOF
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without the header
	for i := last + 1; i <= e.options.events; i++ {
		time.Sleep(e.options.eventInterval)
		text := eventText(attempt, i)
		if err := write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)); err != nil {
			return nil, err
		}
	}
	err = write("0\r\n\r\n")
	return all.Bytes(), err
}

func eventText(attempt string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, attempt, i)
}
