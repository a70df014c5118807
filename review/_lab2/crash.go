package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["crash"] = crashCase }

const (
	crashRounds  = 5
	crashStreams = 92
	crashEvents  = 45
)

// crashCase crashes one of two workers whose streams end with their connections.
func crashCase(l *lab) (broken bool) {
	l.store.put("op", "config", configuration(1))
	for _, zone := range []string{"a", "b"} {
		l.addWorker("i-model-"+zone, "model", zone, "v1", "-unframed", "-events", fmt.Sprint(crashEvents))
	}
	l.startVMs("a", "b", "a", "b", "a", "b")
	for round := range crashRounds {
		broken = l.crashRound(round) || broken
	}
	return broken
}

func (l *lab) crashRound(round int) (broken bool) {
	attempts := make([]*attempt, crashStreams)
	running := sync.WaitGroup{}
	for i := range attempts {
		running.Go(func() {
			attempts[i] = l.send(l.vms[i%len(l.vms)], fmt.Sprintf("r%d%04d", round+1, i+1), "POST", fmt.Sprintf("%sjob-%d-%d", modelPrefix, round+1, i+1), "a job file", nil)
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(seconds(1.5))
	crashed := l.workers[round%2]
	if l.trouble {
		crashed.kill()
	}
	time.Sleep(seconds(1.2))
	if l.trouble {
		crashed.id = fmt.Sprintf("%s+%d", crashed.id, round+1) // Each start is a new incarnation, mostly with a new id.
		crashed.start()
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
	l.note("crash %d: %d of %d streams ended as complete before their last event; any breaks the rule", round+1, cut, crashStreams)
	return cut > 0
}
