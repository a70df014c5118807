package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is the platform's store: rows, with the calls that are described for tables. Workers write
// their rows at /stand-in/row. It removes the row of a worker that has been silent for three heartbeats,
// not while it is down.
type store struct {
	lab     *lab
	address string

	mu      sync.Mutex
	rows    map[string]map[string]storeRow
	beats   map[string]time.Time // By worker, its last heartbeat.
	version uint64
	changed chan struct{}
	down    atomic.Bool // It resets all connections.
	started time.Time
}

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"` // base64 in JSON.
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func newStore(l *lab) (*store, error) {
	s := &store{lab: l, rows: map[string]map[string]storeRow{}, beats: map[string]time.Time{}, changed: make(chan struct{}), started: time.Now()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	mux.HandleFunc("POST /stand-in/row", s.workerRow)
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.abortIfDown()
			mux.ServeHTTP(w, r)
		}))
	}()
	go s.expire()
	return s, nil
}

// setDown makes the store reset its connections, or answer again.
func (s *store) setDown(down bool) {
	s.lab.note("store down: %v", down)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down.Store(down)
	if !down {
		for id := range s.beats {
			s.beats[id] = time.Now()
		}
	}
	s.signal()
}

func (s *store) abortIfDown() {
	if s.down.Load() {
		panic(http.ErrAbortHandler)
	}
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]storeRow{{Table: table, Key: key, Value: raw}})
}

// write writes rows in one transaction. Called with the lock held.
func (s *store) write(rows []storeRow) {
	s.version++
	for _, row := range rows {
		row.Ver = s.version
		if s.rows[row.Table] == nil {
			s.rows[row.Table] = map[string]storeRow{}
		}
		s.rows[row.Table][row.Key] = row
	}
	s.signal()
}

func (s *store) workerRow(w http.ResponseWriter, r *http.Request) {
	row := storeRow{}
	if err := json.NewDecoder(r.Body).Decode(&row); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	row.Table = "servers"
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[row.Key] = time.Now()
	s.write([]storeRow{row})
}

func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, at := range s.beats {
			if !s.down.Load() && time.Since(at) > 3*heartbeat {
				delete(s.beats, id)
				s.write([]storeRow{{Table: "servers", Key: id, Deleted: true}})
				s.lab.note("store: the row of worker %s has expired", id)
			}
		}
		s.mu.Unlock()
	}
}

// list returns the rows of a table changed after a version. Called with the lock held.
func (s *store) list(table string, since uint64, withDeleted bool) []storeRow {
	rows := []storeRow{}
	for _, row := range s.rows[table] {
		if row.Ver > since && (withDeleted || !row.Deleted) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, to := r.FormValue("from"), r.FormValue("to")
	rows := slices.DeleteFunc(s.list(r.FormValue("table"), 0, false), func(row storeRow) bool {
		return row.Key < from || (to != "" && row.Key >= to)
	})
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil {
		limit = len(rows)
	}
	s.respond(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "has_more": limit < len(rows), "ver": s.version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.FormValue("since_rev"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.abortIfDown()
		s.mu.Lock()
		rows, version, changed := s.list(r.FormValue("table"), since, true), s.version, s.changed
		s.mu.Unlock()
		slices.SortFunc(rows, func(a, b storeRow) int { return int(a.Ver) - int(b.Ver) })
		if since > version {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			s.respond(w, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-until:
			s.respond(w, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	change := struct {
		Expected []storeRow `json:"expected_rev"`
		Puts     []storeRow `json:"puts"`
		Remove   []storeRow `json:"remove"`
	}{}
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range change.Remove {
		row.Deleted, row.Value = true, nil
		change.Puts = append(change.Puts, row)
	}
	for _, row := range change.Puts {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	present := []storeRow{}
	agrees := true
	for _, want := range change.Expected {
		row, found := s.rows[want.Table][want.Key]
		if found = found && !row.Deleted; found {
			present = append(present, row)
		}
		agrees = agrees && ((found && row.Ver == want.Ver) || (!found && want.Ver == 0))
	}
	if !agrees {
		s.respond(w, http.StatusPreconditionFailed, map[string]any{"rows": present, "ver": s.version})
		return
	}
	s.write(change.Puts)
	s.respond(w, http.StatusOK, map[string]any{"ver": s.version})
}

func (s *store) respond(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
