package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["service"] = service }

// configApply is config_apply_ms of the settings.
const configApply = 2 * time.Second

// service moves the route of streams from the service model to the service other. Later than
// config_apply_ms after the acknowledgement one of three machines is killed, and its clients resume
// at the others.
func service(g *rig) {
	g.store.put("op", "config", withService(7, "model"))
	services := map[string]string{}
	for _, name := range []string{"model", "other"} {
		for i, zone := range []string{"brescia", "bergamo", "verona"} {
			for j := range 2 {
				w := g.startWorker(&worker{
					id: fmt.Sprintf("i-%s-%d%d", name, i, j), service: name, zone: zone, address: fmt.Sprintf("%s.%d:0", g.network, 100+10*i+2*j+len(services)%2),
					slots: 64, events: 130, gap: 31 * time.Millisecond, prompt: time.Second,
				})
				services[w.id] = name
			}
		}
	}
	for _, zone := range []string{"brescia", "bergamo", "verona"} {
		g.addMachine(fmt.Sprintf("front-%s-1", zone), zone, 134)
	}
	g.startAll()
	time.Sleep(4 * time.Second) // Longer than contact_ms: all machines are in touch.

	const streams = 8
	retries := make([]outcome, streams)
	var wait sync.WaitGroup
	for i := range streams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			q := request{method: "POST", path: fmt.Sprintf("/stream/%d", i), body: []byte("a motor log"), deadline: 25 * time.Second, prefix: fmt.Sprintf("5c1e07a2:200,e4402b%02x:250", i)}
			o := newClient().send(g, g.machines[0], q)
			if o.complete || o.lastEvent == 0 {
				return
			}
			q.lastEvent = o.lastEvent
			q.deadline -= o.endedAt.Sub(o.sentAt) // What is left.
			retries[i] = newClient().send(g, g.machines[1+i%2], q)
		}()
	}
	time.Sleep(200 * time.Millisecond)
	g.store.put("op", "config", withService(9, "other"))
	acknowledged := time.Now()
	g.record.note("operator  version 9 is acknowledged: the route of streams leads to the service other")
	time.Sleep(configApply + 300*time.Millisecond)
	// The machines have the new version: new requests run at the new service.
	probes := 0
	for i := range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			o := newClient().send(g, g.machines[1+i%2], request{method: "POST", path: fmt.Sprintf("/stream/new-%d", i), body: []byte("a motor log"), deadline: 25 * time.Second})
			for _, id := range g.record.workersOf(o.id) {
				if services[id] != "other" {
					probes++
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if g.trouble {
		g.signal(g.machines[0], syscall.SIGKILL)
	}
	wait.Wait()

	// CONFIG: a request sent later than config_apply_ms after the acknowledgement of a version is
	// run by the old service.
	late, old := 0, probes
	for _, o := range retries {
		if o.id == "" || o.sentAt.Sub(acknowledged) <= configApply {
			continue
		}
		late++
		for _, id := range g.record.workersOf(o.id) {
			if services[id] == "model" {
				old++
				g.record.note("CONFIG    %s, sent %.2f s after the acknowledgement, was run by %s of the old service", o.id, o.sentAt.Sub(acknowledged).Seconds(), id)
			}
		}
	}
	g.finish(old > 0, "CONFIG: %d runs of %d late attempts (and 4 new requests) were at the old service", old, late)
}

// withService returns a configuration whose route of streams leads to a service.
func withService(version int, service string) map[string]any {
	c := configuration(version)
	services := c["services"].([]any)
	other := map[string]any{}
	for name, value := range services[0].(map[string]any) {
		other[name] = value
	}
	other["name"] = "other"
	c["services"] = append(services, other)
	for _, route := range c["routes"].([]any) {
		if r := route.(map[string]any); strings.HasPrefix(r["prefix"].(string), "/stream/") {
			r["service"] = service
		}
	}
	return c
}
