package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is the platform's metadata store, with the calls that PROTOCOL.md names for rows.
type store struct {
	mu      sync.Mutex
	rows    map[string]map[string]storeRow // By table and key; part is always empty.
	version uint64
	era     uint64
	changed chan struct{}
}

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"` // Base64 in JSON.
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

var started = time.Now()

func newStore() *store {
	return &store{rows: map[string]map[string]storeRow{}, era: 1, changed: make(chan struct{})}
}

// put writes a row, as the operator and the workers do.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(storeRow{Table: table, Key: key, Value: raw, Ver: s.version})
	s.signal()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row, found := s.rows[table][key]; !found || row.Deleted {
		return
	}
	s.version++
	s.write(storeRow{Table: table, Key: key, Ver: s.version, Deleted: true})
	s.signal()
}

func (s *store) write(row storeRow) {
	if s.rows[row.Table] == nil {
		s.rows[row.Table] = map[string]storeRow{}
	}
	s.rows[row.Table][row.Key] = row
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the rows of a table in byte order of their keys, or in order of their versions
// with the deleted ones. Called with the lock held.
func (s *store) list(table string, since uint64, changes bool) []storeRow {
	rows := []storeRow{}
	for _, row := range s.rows[table] {
		if row.Ver > since && (changes || !row.Deleted) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool {
		if changes {
			return rows[i].Ver < rows[j].Ver
		}
		return rows[i].Key < rows[j].Key
	})
	return rows
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/api/rows-get":
		s.mu.Lock()
		rows, version := s.list(r.FormValue("table"), 0, false), s.version
		s.mu.Unlock()
		s.answer(w, map[string]any{"rows": rows, "has_more": false, "ver": version})
	case "/api/rows-feed":
		s.feed(w, r)
	case "/api/rows-tx":
		s.tx(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.FormValue("since_rev"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, version, changed := s.list(r.FormValue("table"), since, true), s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.answer(w, map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-until:
			s.answer(w, map[string]any{"rows": rows, "ver": version})
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
	s.mu.Lock()
	for _, row := range change.Expected {
		if now := s.rows[row.Table][row.Key]; now.Ver != row.Ver && !(row.Ver == 0 && now.Deleted) {
			s.mu.Unlock()
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.version++
	for _, row := range change.Puts {
		row.Ver = s.version
		s.write(row)
	}
	for _, row := range change.Remove {
		s.write(storeRow{Table: row.Table, Key: row.Key, Ver: s.version, Deleted: true})
	}
	version := s.version
	s.signal()
	s.mu.Unlock()
	s.answer(w, map[string]any{"ver": version})
}

func (s *store) answer(w http.ResponseWriter, body map[string]any) {
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	body["now_ms"] = time.Since(started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
