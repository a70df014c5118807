package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hangup"] = hangup }

// hangup stops one of three machines with SIGTERM while it answers streams, and sends it SIGHUP one
// second later, while it still drains: settings files change during a rolling restart.
func hangup(g *rig) {
	g.store.put("op", "config", configuration(7))
	for i, zone := range []string{"brescia", "bergamo", "verona"} {
		for j := range 2 {
			g.startWorker(&worker{id: fmt.Sprintf("i-model-%d%d", i, j), service: "model", zone: zone, address: fmt.Sprintf("%s.%d:0", g.network, 100+10*i+j), slots: 64, events: 130, gap: 31 * time.Millisecond})
		}
		g.addMachine(fmt.Sprintf("front-%s-1", zone), zone, 134)
	}
	g.startAll()
	time.Sleep(4 * time.Second) // Longer than contact_ms: all machines are in touch.

	target := g.machines[0]
	var outcomes []outcome
	var mu sync.Mutex
	var wait sync.WaitGroup
	send := func(q request) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			o := newClient().send(g, target, q)
			mu.Lock()
			outcomes = append(outcomes, o)
			mu.Unlock()
		}()
	}
	for i := range 12 {
		send(request{method: "POST", path: fmt.Sprintf("/stream/%d", i), body: []byte("a motor log"), deadline: 25 * time.Second})
	}
	time.Sleep(time.Second)
	g.signal(target, syscall.SIGTERM)
	termAt := time.Now()
	time.Sleep(time.Second)
	if g.trouble {
		g.signal(target, syscall.SIGHUP)
	}
	wait.Wait()
	target.await(9 * time.Second)
	_, endedAt, exit := target.hasEnded()

	// LOST: the process has read a whole request, it was passed on to a worker, and its
	// connection ends without a complete answer.
	lost := 0
	for _, o := range outcomes {
		if len(g.record.workersOf(o.id)) > 0 && !(o.status != 0 && o.complete) {
			lost++
		}
	}
	g.finish(lost > 0, "LOST: %d of %d requests that workers ran have no complete answer; the process ended %.2f s after SIGTERM: %s", lost, len(outcomes), endedAt.Sub(termAt).Seconds(), exit)
}
