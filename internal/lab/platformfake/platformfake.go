// Package platformfake is a fake of the platform: a table with conditional writes, an
// object store and a VM list that lags behind. Faults are injected.
//
// # Usage
//
//	platform := platformfake.New()
//	http.Serve(listener, platform)
//	platform.SetFaults(platformfake.Faults{LoseWriteReplies: 1})
//
// Over HTTP: PUT /faults takes Faults as JSON, PUT /vms the true VM list, which GET /vms
// returns ListLagMillis later.
package platformfake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/endivespoke/endivespoke/internal/platform/vmlist"
)

const maxBodyBytes = 16 << 20

// Faults configures fault injection. LoseWriteReplies counts down: that many table writes
// take effect and their replies are dropped. LoseWriteRequests counts down too: that many
// table writes are dropped before they take effect. DownUntil and SlowUntil are the times
// at which an outage and a slowdown end.
type Faults struct {
	DownUntil         time.Time `json:"downUntil"`
	SlowUntil         time.Time `json:"slowUntil"`
	SlowMillis        int       `json:"slowMillis"`
	LoseWriteReplies  int       `json:"loseWriteReplies"`
	LoseWriteRequests int       `json:"loseWriteRequests"`
	ListLagMillis     int       `json:"listLagMillis"`
}

// Counts is the number of requests by kind.
type Counts struct {
	TableReads   int `json:"tableReads"`
	TableWrites  int `json:"tableWrites"`
	ObjectReads  int `json:"objectReads"`
	ObjectWrites int `json:"objectWrites"`
	ListReads    int `json:"listReads"`
	HeadReads    int `json:"headReads"`    // Of the table reads.
	ActionReads  int `json:"actionReads"`  // Of the table reads.
	ActionWrites int `json:"actionWrites"` // Of the table writes.
}

type row struct {
	version int
	value   []byte
}

type listVersion struct {
	visibleAt time.Time
	vms       []vmlist.VM
}

// Platform is a fake platform. BeforeWrite, if set, is called with the key of each table
// write before it takes effect.
type Platform struct {
	BeforeWrite func(key string)

	mu       sync.Mutex
	rows     map[string]row
	objects  map[string][]byte
	listings []listVersion
	faults   Faults
	counts   Counts
	mux      *http.ServeMux
}

// New returns an empty platform without faults.
func New() *Platform {
	p := &Platform{rows: map[string]row{}, objects: map[string][]byte{}, mux: http.NewServeMux()}
	p.mux.HandleFunc("GET /table/{key...}", p.getRow)
	p.mux.HandleFunc("PUT /table/{key...}", p.putRow)
	p.mux.HandleFunc("GET /objects/{name...}", p.getObject)
	p.mux.HandleFunc("PUT /objects/{name...}", p.putObject)
	p.mux.HandleFunc("GET /vms", p.getVMs)
	p.mux.HandleFunc("PUT /vms", p.putVMs)
	p.mux.HandleFunc("PUT /faults", p.putFaults)
	p.mux.HandleFunc("GET /counts", p.getCounts)
	return p
}

// ServeHTTP handles one request.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// SetVMs replaces the true VM list, which is visible after the list's lag.
func (p *Platform) SetVMs(vms []vmlist.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lag := time.Duration(p.faults.ListLagMillis) * time.Millisecond
	p.listings = append(p.listings, listVersion{visibleAt: time.Now().Add(lag), vms: vms})
}

// Counts returns the counts so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Row returns a row's value, for tests.
func (p *Platform) Row(key string) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.rows[key]
	return found.value, ok
}

// applyOutage answers with 503 during an outage and sleeps during a slowdown. It reports
// whether the request may continue.
func (p *Platform) applyOutage(w http.ResponseWriter) bool {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	now := time.Now()
	if now.Before(faults.DownUntil) {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	if now.Before(faults.SlowUntil) {
		time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
	}
	return true
}

// dropConnection aborts the handler, which closes the connection without an answer.
func dropConnection() {
	panic(http.ErrAbortHandler)
}

func keyOf(r *http.Request, name string) string {
	key, err := url.PathUnescape(r.PathValue(name))
	if err != nil {
		return r.PathValue(name)
	}
	return key
}

func etag(version int) string {
	return fmt.Sprintf("%q", fmt.Sprint(version))
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	if !p.applyOutage(w) {
		return
	}
	p.mu.Lock()
	p.counts.TableReads++
	switch {
	case strings.HasPrefix(keyOf(r, "key"), "action/"):
		p.counts.ActionReads++
	case keyOf(r, "key") == "config/head":
		p.counts.HeadReads++
	}
	found, ok := p.rows[keyOf(r, "key")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("ETag", etag(found.version))
	_, _ = w.Write(found.value)
}

func (p *Platform) putRow(w http.ResponseWriter, r *http.Request) {
	if !p.applyOutage(w) {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	key := keyOf(r, "key")
	if p.BeforeWrite != nil {
		p.BeforeWrite(key)
	}
	p.mu.Lock()
	p.counts.TableWrites++
	if strings.HasPrefix(key, "action/") {
		p.counts.ActionWrites++
	}
	if p.faults.LoseWriteRequests > 0 {
		p.faults.LoseWriteRequests--
		p.mu.Unlock()
		dropConnection()
	}
	found, ok := p.rows[key]
	if !preconditionHolds(r.Header, found.version, ok) {
		p.mu.Unlock()
		http.Error(w, "precondition failed", http.StatusPreconditionFailed)
		return
	}
	next := row{version: found.version + 1, value: body}
	p.rows[key] = next
	lost := p.faults.LoseWriteReplies > 0
	if lost {
		p.faults.LoseWriteReplies--
	}
	p.mu.Unlock()
	if lost {
		dropConnection()
	}
	w.Header().Set("ETag", etag(next.version))
	w.WriteHeader(http.StatusOK)
}

func preconditionHolds(header http.Header, version int, exists bool) bool {
	if header.Get("If-None-Match") == "*" {
		return !exists
	}
	return exists && header.Get("If-Match") == etag(version)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	if !p.applyOutage(w) {
		return
	}
	p.mu.Lock()
	p.counts.ObjectReads++
	body, ok := p.objects[keyOf(r, "name")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	if !p.applyOutage(w) {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.ObjectWrites++
	p.objects[keyOf(r, "name")] = body
}

func (p *Platform) getVMs(w http.ResponseWriter, _ *http.Request) {
	if !p.applyOutage(w) {
		return
	}
	p.mu.Lock()
	p.counts.ListReads++
	visible := []vmlist.VM{}
	now := time.Now()
	for _, candidate := range p.listings {
		if !candidate.visibleAt.After(now) {
			visible = candidate.vms
		}
	}
	p.mu.Unlock()
	writeJSON(w, visible)
}

func (p *Platform) putVMs(w http.ResponseWriter, r *http.Request) {
	var vms []vmlist.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVMs(vms)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Counts())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// Keys lists the table's keys with a prefix, for tests.
func (p *Platform) Keys(prefix string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	keys := []string{}
	for key := range p.rows {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}
