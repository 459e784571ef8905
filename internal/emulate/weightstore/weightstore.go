package weightstore

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// A Store is an emulated weight store; New sets its limits.
type Store struct {
	concurrent int
	bandwidth  float64 // bytes a second for one load at full speed
	limiter    *rate.Limiter

	mu       sync.Mutex
	inFlight int
	peak     int
}

type loadWire struct {
	Bytes int64 `json:"bytes"`
}

type availableWire struct {
	InFlight int `json:"in-flight"`
	Limit    int `json:"limit"`
	Peak     int `json:"peak"`
}

// New returns a store with a rate of loads a second, a number of loads at full speed and a bandwidth for each of them.
func New(loadsPerSecond float64, concurrent int, bytesPerSecond float64) *Store {
	return &Store{
		concurrent: concurrent,
		bandwidth:  bytesPerSecond,
		limiter:    rate.NewLimiter(rate.Limit(loadsPerSecond), 1),
	}
}

// Handler returns the store's protocol.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weight-store/load", s.available)
	mux.HandleFunc("POST /weight-store/load", s.load)
	return mux
}

func (s *Store) available(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(availableWire{s.inFlight, s.concurrent, s.peak})
}

// load answers when the weights have been read; beyond the concurrency limit each load slows in proportion.
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
	f := s.enter()
	defer s.leave()
	t := time.NewTimer(time.Duration(float64(l.Bytes) / s.bandwidth * f * float64(time.Second)))
	defer t.Stop()
	select {
	case <-r.Context().Done():
	case <-t.C:
		w.WriteHeader(http.StatusOK)
	}
}

// enter counts a load and returns the factor by which it is slowed.
func (s *Store) enter() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.peak = max(s.peak, s.inFlight)
	return max(1, float64(s.inFlight)/float64(s.concurrent))
}

func (s *Store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
