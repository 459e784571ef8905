package weightstore

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Store is an emulated weight store; New sets its limits.
type Store struct {
	concurrencyLimit   int     // loads that run at full speed
	loadBytesPerSecond float64 // of one load at full speed
	limiter            *rate.Limiter

	mu       sync.Mutex
	inFlight int
	peak     int
}

type loadWire struct {
	Bytes int64 `json:"bytes"`
}

type statusWire struct {
	InFlight int `json:"in-flight"`
	Limit    int `json:"limit"`
	Peak     int `json:"peak"`
}

// New returns a store that starts at most loadsPerSecond loads a second and runs up to concurrencyLimit loads at
// bytesPerSecond each; loads beyond that take proportionally longer.
func New(loadsPerSecond float64, concurrencyLimit int, bytesPerSecond float64) *Store {
	return &Store{
		concurrencyLimit:   concurrencyLimit,
		loadBytesPerSecond: bytesPerSecond,
		limiter:            rate.NewLimiter(rate.Limit(loadsPerSecond), 1),
	}
}

// Handler returns a handler for the store's protocol.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weight-store/load", s.status)
	mux.HandleFunc("POST /weight-store/load", s.load)
	return mux
}

func (s *Store) status(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(statusWire{s.inFlight, s.concurrencyLimit, s.peak})
}

// load responds when the weights have been read; a load that starts beyond the concurrency limit takes proportionally longer.
func (s *Store) load(w http.ResponseWriter, r *http.Request) {
	var l loadWire
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.limiter.Wait(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	slowdown := s.beginLoad()
	defer s.endLoad()
	t := time.NewTimer(time.Duration(float64(l.Bytes) / s.loadBytesPerSecond * slowdown * float64(time.Second)))
	defer t.Stop()
	select {
	case <-r.Context().Done():
	case <-t.C:
		w.WriteHeader(http.StatusOK)
	}
}

// beginLoad counts a load as in flight and returns the factor by which its duration is multiplied.
func (s *Store) beginLoad() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.peak = max(s.peak, s.inFlight)
	return max(1, float64(s.inFlight)/float64(s.concurrencyLimit))
}

func (s *Store) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
