package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["moved"] = moved }

// moved takes away two of eight workers, as scale_in with its default share of 0.15 to 0.25 does,
// while streams run there whose answers have neither a length nor chunks.
func moved(g *rig) {
	g.store.put("op", "config", configuration(7))
	workers := []*worker{}
	for i, zone := range []string{"brescia", "bergamo"} {
		for j := range 4 {
			workers = append(workers, g.startWorker(&worker{
				id: fmt.Sprintf("i-model-%d%d", i, j), service: "model", zone: zone, address: fmt.Sprintf("%s.%d:0", g.network, 100+10*i+j),
				slots: 64, events: 130, gap: 31 * time.Millisecond, unframed: true,
			}))
		}
		g.addMachine(fmt.Sprintf("front-%s-1", zone), zone, 134)
	}
	g.startAll()
	time.Sleep(4 * time.Second) // Longer than contact_ms: all machines are in touch.

	const streams = 96
	outcomes := make([]outcome, streams)
	var wait sync.WaitGroup
	for i := range streams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			outcomes[i] = newClient().send(g, g.machines[i%len(g.machines)], request{
				method: "POST", path: fmt.Sprintf("/stream/%d", i), body: []byte("a motor log"), deadline: 25 * time.Second,
			})
		}()
	}
	time.Sleep(1200 * time.Millisecond)
	if g.trouble {
		workers[0].drain()
		workers[4].drain()
	}
	wait.Wait()

	// ORDER: the stream ends as complete before its last piece. MIXED: an answer that ends early
	// looks complete.
	early, orders, cut := 0, 0, 0
	for _, o := range outcomes {
		switch {
		case o.status != 200:
			cut++
		case o.fault != "":
			orders++
		case o.complete && o.lastEvent < 130:
			early++
		case !o.complete:
			cut++
		}
	}
	g.finish(early+orders > 0, "ORDER: %d of %d streams end as complete before their last event, %d have events missing or twice (%d were cut visibly); %d runs were stopped by a move", early, streams, orders, cut, g.record.movesStopped.Load())
}
