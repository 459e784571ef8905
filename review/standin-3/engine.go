package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	healthPath = "/health"

	headerAttempt   = "Geraniumdeck-Attempt-Id"
	headerSignature = "Geraniumdeck-Response-Signature"
)

// An engineServer is a backend server of a plain service. It writes a line to its output when it begins and ends a request.
type engineServer struct {
	id         string
	slots      int
	work       time.Duration
	deadlyBody string // of requests that crash the server as soon as it begins to run them; empty for none
	version    string // of its software
	events     int    // of a stream
	born       int64  // start in Unix milliseconds

	capacity  float64            // for weights, in megabytes; 0 for a plain service
	sizes     map[string]float64 // of the models, in megabytes
	loadTime  time.Duration      // from the store
	modelsMu  sync.Mutex
	held      map[string]bool
	loading   string // empty for none
	unloading string // empty for none
	accepted  uint64 // orders
	fence     uint64 // highest one seen

	running atomic.Int64
	outMu   sync.Mutex
}

// engineMain runs an engine until it crashes or is killed, and returns why it could not.
func engineMain(args []string) error {
	var e engineServer
	flags := flag.NewFlagSet("engine", flag.ContinueOnError)
	address := flags.String("address", "", "IP:port")
	flags.StringVar(&e.id, "id", "", "ID of this start")
	flags.IntVar(&e.slots, "slots", 6, "requests that run at a time")
	flags.DurationVar(&e.work, "work", 60*time.Millisecond, "time that a request takes")
	flags.StringVar(&e.deadlyBody, "deadly-body", "", "body of requests that crash the server")
	flags.StringVar(&e.version, "version", "v1", "version of the software")
	flags.Int64Var(&e.born, "born", 0, "start in Unix milliseconds")
	flags.IntVar(&e.events, "events", 50, "events of a stream")
	flags.Float64Var(&e.capacity, "capacity", 0, "megabytes for weights")
	sizes := flags.String("sizes", "", "NAME=MEGABYTES of the models, separated by commas")
	held := flags.String("held", "", "names of the models that are held at the start, separated by commas")
	flags.DurationVar(&e.loadTime, "load-time", 3*time.Second, "time that a load takes")
	if err := flags.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", *address) //nolint:noctx // at the start of the process
	if err != nil {
		return err
	}
	e.setModels(*sizes, *held)
	e.say("up")
	e.sayHeld()
	srv := &http.Server{Handler: &e, ReadHeaderTimeout: 5 * time.Second}
	return srv.Serve(l)
}

// crash says why the engine crashes, and ends its process.
func (e *engineServer) crash(words ...string) {
	e.say(words...)
	os.Exit(statusBroken)
}

func (e *engineServer) say(words ...string) {
	e.outMu.Lock()
	defer e.outMu.Unlock()
	fmt.Println(strings.Join(words, " "))
}

// ServeHTTP implements http.Handler.
func (e *engineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Geraniumdeck-Server-Load", fmt.Sprintf("%d,0,%d", min(e.running.Load(), int64(e.slots)), e.slots))
	attempt := r.Header.Get(headerAttempt)
	if attempt != "" {
		w.Header().Set(headerAttempt, attempt)
	}
	if want := r.Header.Get("Geraniumdeck-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Geraniumdeck-Instance-Id", e.id)
		w.Header().Set("Geraniumdeck-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case healthPath:
		w.Header().Set("Geraniumdeck-Instance-Id", e.id)
		return
	case "/geraniumdeck/report":
		e.report(w)
		return
	case "/geraniumdeck/order":
		e.order(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if model := r.Header.Get("Geraniumdeck-Model"); model != "" && !e.holds(model) {
		w.Header().Set("Geraniumdeck-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer e.running.Add(-1)
	if e.running.Add(1) > int64(e.slots) {
		w.Header().Set("Geraniumdeck-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.say("begin", attempt)
	if e.deadlyBody != "" && string(body) == e.deadlyBody {
		e.crash("crash", attempt)
	}
	if strings.HasPrefix(r.URL.Path, streamPrefix) {
		e.stream(w, r, attempt)
		return
	}
	select {
	case <-r.Context().Done():
		e.say("dropped", attempt)
		panic(http.ErrAbortHandler)
	case <-time.After(e.work):
	}
	e.say("end", attempt)
	w.Header().Set(headerSignature, "signed-"+e.id+"-"+attempt)
	fmt.Fprintf(w, "answer of %s to %s", e.id, attempt) // fails if the channel is closed
}

const (
	streamPrefix = "/notes/" // of paths whose answers are streams
	eventGap     = 150 * time.Millisecond
)

// stream answers with a series of events that name the version of the software. It goes on after the event that the request names.
func (e *engineServer) stream(w http.ResponseWriter, r *http.Request, attempt string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without the header
	e.say("streams", attempt, "after event", strconv.Itoa(last))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerSignature, "signed-"+e.id+"-"+attempt)
	flusher := http.NewResponseController(w)
	for i := last + 1; i <= e.events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: note %d %s\n\n", i, i, e.version)
		_ = flusher.Flush() // fails if the channel is closed
		select {
		case <-r.Context().Done():
			e.say("dropped", attempt)
			panic(http.ErrAbortHandler)
		case <-time.After(eventGap):
		}
	}
	e.say("end", attempt)
}

// An engineEvent is a line that an engine has written.
type engineEvent struct {
	what, attempt string
}

// readEngineEvents passes on the lines of an engine until its output ends.
func readEngineEvents(out io.Reader, handle func(engineEvent)) {
	for lines := bufio.NewScanner(out); lines.Scan(); {
		what, attempt, _ := strings.Cut(lines.Text(), " ")
		handle(engineEvent{what, attempt})
	}
}
