package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["foreign"] = foreign }

// foreign has two clients of a tenant send the same prompt of one session, a moment apart, to two
// of three machines. The machine of the first is killed; its client resumes at the third machine.
func foreign(g *rig) {
	g.store.put("op", "config", configuration(7))
	for i, zone := range []string{"brescia", "bergamo", "verona"} {
		for j := range 2 {
			g.startWorker(&worker{
				id: fmt.Sprintf("i-model-%d%d", i, j), service: "model", zone: zone, address: fmt.Sprintf("%s.%d:0", g.network, 100+10*i+j),
				slots: 64, events: 130, gap: 31 * time.Millisecond,
			})
		}
		g.addMachine(fmt.Sprintf("front-%s-1", zone), zone, 134)
	}
	g.startAll()
	time.Sleep(4 * time.Second) // Longer than contact_ms: all machines are in touch.

	const pairs = 8
	type attempts struct {
		ids  []string
		last outcome
	}
	results := make([][2]attempts, pairs)
	var wait sync.WaitGroup
	ask := func(pair, which int, first, next *machine) {
		defer wait.Done()
		q := request{
			method: "POST", path: fmt.Sprintf("/stream/%d", pair), body: []byte(fmt.Sprintf("the log of session %d", pair)),
			deadline: 25 * time.Second, prefix: fmt.Sprintf("5c1e07a2:200,e4402b%02x:250", pair),
		}
		a := &results[pair][which]
		a.last = newClient().send(g, first, q)
		a.ids = append(a.ids, a.last.id)
		if a.last.complete || a.last.lastEvent == 0 {
			return
		}
		// The client's one retry: on a new connection, after the last event that it has.
		q.lastEvent = a.last.lastEvent
		q.deadline -= a.last.endedAt.Sub(a.last.sentAt) // What is left.
		a.last = newClient().send(g, next, q)
		a.ids = append(a.ids, a.last.id)
	}
	for pair := range pairs {
		wait.Add(2)
		go ask(pair, 0, g.machines[0], g.machines[2])
		time.Sleep(60 * time.Millisecond)
		go ask(pair, 1, g.machines[1], g.machines[2])
	}
	time.Sleep(1500 * time.Millisecond)
	if g.trouble {
		g.signal(g.machines[0], syscall.SIGKILL)
	}
	wait.Wait()

	// MIXED: a request goes on from the memory of another request. Attempts of one client are one
	// request.
	mixed, foreignPieces := 0, 0
	for pair := range pairs {
		for which := range 2 {
			a := results[pair][which]
			own := strings.Join(a.ids, " ")
			for _, id := range a.ids {
				if from := g.record.memoryOf(id); from != "" && !strings.Contains(own, from) {
					mixed++
					g.record.note("MIXED     %s goes on from the memory of %s, which another client sent", id, from)
				}
			}
			for _, origin := range a.last.origins {
				if !strings.Contains(own, origin) {
					foreignPieces++
					break
				}
			}
		}
	}
	g.finish(mixed > 0, "MIXED: %d requests of %d went on from the memory of another client's request; %d clients got pieces of a foreign run", mixed, 2*pairs, foreignPieces)
}
