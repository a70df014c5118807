// Package servicefake is a fake HTTP service with calls that are not idempotent. It records
// every execution, so that a test can count them.
//
// # Usage
//
//	service := servicefake.New()
//	http.Serve(listener, service)
//	service.Executions("POST /bookings key-1") // number of executions
//
// Over HTTP: PUT /faults takes Faults as JSON, GET /executions returns the record.
package servicefake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const maxBodyBytes = 4 << 20

// Faults configures fault injection. DropBefore, DropAfter and HangAfter count down calls:
// DropBefore closes the connection before the execution, DropAfter after it, and HangAfter
// executes and never answers. LatencyMillis delays every call before it executes.
type Faults struct {
	DropBefore    int `json:"dropBefore"`
	DropAfter     int `json:"dropAfter"`
	HangAfter     int `json:"hangAfter"`
	LatencyMillis int `json:"latencyMillis"`
}

// Service is a fake service. With HonourKeys it answers a repeated Idempotency-Key with
// the first result and does not execute the call again.
type Service struct {
	HonourKeys bool

	mu         sync.Mutex
	faults     Faults
	executions map[string]int
	results    map[string]string
	sequence   int
}

// New returns a service without faults.
func New() *Service {
	return &Service{executions: map[string]int{}, results: map[string]string{}}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Executions returns how often a call was executed. The name is "METHOD PATH KEY".
func (s *Service) Executions(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[name]
}

// AllExecutions returns a copy of the whole record.
func (s *Service) AllExecutions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]int, len(s.executions))
	for name, count := range s.executions {
		all[name] = count
	}
	return all
}

// ServeHTTP handles one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/faults":
		s.putFaults(w, r)
	case "/executions":
		writeJSON(w, s.AllExecutions())
	default:
		s.call(w, r)
	}
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(time.Duration(faults.LatencyMillis) * time.Millisecond)
	name := fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, r.Header.Get("Idempotency-Key"))
	result, action := s.execute(name, string(body))
	switch action {
	case actionDrop:
		panic(http.ErrAbortHandler)
	case actionHang:
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, result)
}

// action is how a call's connection is treated after execute.
type action int

const (
	actionAnswer action = iota
	actionDrop
	actionHang
)

func (s *Service) execute(name, body string) (result string, next action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropBefore > 0 {
		s.faults.DropBefore--
		return "", actionDrop
	}
	if stored, found := s.results[name]; s.HonourKeys && found {
		return stored, actionAnswer
	}
	s.executions[name]++
	s.sequence++
	result = fmt.Sprintf(`{"number":%d,"call":%q,"bytes":%d}`, s.sequence, name, len(body))
	s.results[name] = result
	if s.faults.DropAfter > 0 {
		s.faults.DropAfter--
		return "", actionDrop
	}
	if s.faults.HangAfter > 0 {
		s.faults.HangAfter--
		return "", actionHang
	}
	return result, actionAnswer
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
