package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["crash"] = crashCase }

const (
	crashStreams = 80
	crashEvents  = 60
	// crashIdle are the connections that other callers keep to each worker, of the 290 that it accepts.
	crashIdle = 200
)

// crashCase crashes one of two workers whose streams end with their connections.
func crashCase(l *lab) (broken bool) {
	l.store.put("op", "config", configuration(1))
	options := []string{"-unframed", "-events", fmt.Sprint(crashEvents)}
	first := l.addWorker("i-model-a", "model", "a", "v1", options...)
	l.addWorker("i-model-b", "model", "b", "v1", options...)
	for _, w := range l.workers {
		for range crashIdle {
			connection, err := net.Dial("tcp", w.address)
			if err != nil {
				panic(cannotRun(err.Error()))
			}
			defer connection.Close()
		}
	}
	l.startVMs("a", "b")
	attempts := make([]*attempt, crashStreams)
	running := sync.WaitGroup{}
	for i := range attempts {
		running.Go(func() {
			attempts[i] = l.send(l.vms[i%2], fmt.Sprintf("r%08d", i+1), "POST", fmt.Sprintf("%sjob-%d", modelPrefix, i+1), "a job file", nil)
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(seconds(1.5))
	if l.trouble {
		first.kill()
	}
	time.Sleep(seconds(2))
	if l.trouble {
		first.id = "i-model-a2" // Each start is a new incarnation, mostly with a new id.
		first.start()
	}
	running.Wait()
	requireStreams(attempts)
	cut := 0
	for _, a := range attempts {
		if a.status == 200 && a.complete && len(a.events) < crashEvents {
			cut++
			l.note("stream %s ended as complete after %d of %d events", a.id, len(a.events), crashEvents)
		}
	}
	l.note("%d of %d streams ended as complete before their last event; any breaks the rule", cut, crashStreams)
	return cut > 0
}
