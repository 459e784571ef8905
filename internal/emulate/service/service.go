package service

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Faults holds the fault settings of an emulated service; the zero value has no faults.
type Faults struct {
	LoseAnswers int  // number of next calls that run and then drop the connection without a response
	NotRun      bool // calls are refused with the Not-Run header, which states that they did not run
}

// Service is an emulated plain service; its zero value is ready to use.
type Service struct {
	mu     sync.Mutex
	faults Faults
	runs   map[string]int
}

type faultsWire struct {
	LoseAnswers int  `json:"lose-answers"`
	NotRun      bool `json:"not-run"`
}

type responseWire struct {
	Path string `json:"path"`
	Key  string `json:"key,omitempty"`
	Run  int    `json:"run"`
}

// Handler returns a handler for the service's calls, its run counts at /emulate/runs and its faults at /emulate/faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.call)
	mux.HandleFunc("GET /emulate/runs", s.listRuns)
	mux.HandleFunc("POST /emulate/faults", s.setFaults)
	return mux
}

// Runs returns how often calls with the key ran.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// SetFaults replaces the fault settings.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.NotRun {
		w.Header().Set("Not-Run", "true")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	key := r.Header.Get("Call-Key")
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[key]++
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, responseWire{Path: r.URL.Path, Key: key, Run: s.runs[key]})
}

func (s *Service) listRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.runs)
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var f faultsWire
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(Faults(f))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
