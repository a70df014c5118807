package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pause"] = pauseCase }

const pauseStreams = 6

// pauseCase crashes a worker whose streams end with their connections, which is back after 1.2 s. The
// process of the system in between stands still meanwhile.
func pauseCase(l *lab) (broken bool) {
	l.store.put("op", "config", configuration(1))
	first := l.addWorker("i-model-a", "model", "a", "v1", "-unframed")
	l.addWorker("i-model-b", "model", "b", "v1", "-unframed")
	l.startVMs("a", "b")
	attempts := make([]*attempt, pauseStreams)
	running := sync.WaitGroup{}
	for i := range attempts {
		running.Go(func() {
			attempts[i] = l.send(l.vms[0], fmt.Sprintf("r%08d", i+1), "POST", fmt.Sprintf("%sjob-%d", modelPrefix, i+1), "a job file", nil)
		})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(seconds(2))
	if l.trouble {
		l.vms[0].signal(syscall.SIGSTOP)
	}
	time.Sleep(seconds(0.5))
	first.kill()
	time.Sleep(seconds(1.2))
	first.id = "i-model-a2" // Each start is a new incarnation, mostly with a new id.
	first.start()
	time.Sleep(seconds(1.8))
	if l.trouble {
		l.vms[0].signal(syscall.SIGCONT)
	}
	running.Wait()
	requireStreams(attempts)
	for _, a := range attempts {
		if a.status == 200 && a.complete && len(a.events) < 100 {
			broken = true
			l.note("stream %s ended as complete after %d of 100 events", a.id, len(a.events))
		}
	}
	return broken
}
