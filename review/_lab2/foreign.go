package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["foreign"] = foreignCase }

const foreignRequests = 200

// foreignCase has another writer put an entry into the list of workers that lacks fields. At its address is
// a web server that knows no path of the routes.
func foreignCase(l *lab) (broken bool) {
	l.store.put("op", "config", configuration(1))
	l.addWorker("i-desk-a", "desk", "a", "v1")
	l.addWorker("i-desk-b", "desk", "b", "v1")
	l.startVMs("a", "b")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.note("the other writer's process gets %s %s %s, X-Tenant %q", r.Header.Get("X-Request-Id"), r.Method, r.RequestURI, r.Header.Get("X-Tenant"))
		mux.ServeHTTP(w, r)
	})}
	server.SetKeepAlivesEnabled(false) // One request a connection, as the simplest web servers.
	go func() { _ = server.Serve(listener) }()
	if l.trouble {
		entry := map[string]any{"service": "desk", "address": listener.Addr().String(), "zone": "a", "slots": 6, "state": "ready"}
		l.store.put("servers", "other-writer", entry)
		l.note("another writer's entry: %v", entry)
	}
	time.Sleep(seconds(2))
	attempts := make([]*attempt, foreignRequests)
	running := sync.WaitGroup{}
	for i := range attempts {
		running.Go(func() {
			attempts[i] = l.send(l.vms[i%2], fmt.Sprintf("r%08d", i+1), "POST", fmt.Sprintf("%screw-%d", deskPrefix, i+1), "a booking", nil)
		})
		time.Sleep(20 * time.Millisecond)
	}
	running.Wait()
	denied := 0
	for _, a := range attempts {
		if !a.signed && a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
		}
	}
	bound := 5 + foreignRequests/500
	l.note("%d of %d proper requests ended with an unsigned 3xx or 4xx; more than %d break the rule", denied, foreignRequests, bound)
	return denied > bound
}
