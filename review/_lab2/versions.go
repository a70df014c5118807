package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["versions"] = versionsCase }

const versionStreams = 6

// versionsCase upgrades the two workers of a service in place, one after the other, while the store is
// away. The streams of the second one have no worker of their version left.
func versionsCase(l *lab) (broken bool) {
	l.store.put("op", "config", configuration(1))
	first := l.addWorker("i-model-a", "model", "a", "v1", "-events", "150")
	second := l.addWorker("i-model-b", "model", "b", "v1", "-events", "150")
	l.startVMs("a", "b")
	attempts := make([]*attempt, versionStreams)
	running := sync.WaitGroup{}
	for i := range attempts {
		running.Go(func() {
			attempts[i] = l.send(l.vms[i%2], fmt.Sprintf("r%08d", i+1), "POST", fmt.Sprintf("%sjob-%d", modelPrefix, i+1), "a job file", nil)
		})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(seconds(1.5))
	if l.trouble {
		l.store.setDown(true)
	}
	time.Sleep(seconds(0.5))
	first.kill()
	time.Sleep(seconds(1.2))
	first.version = "v2"
	first.start()
	time.Sleep(seconds(2))
	second.kill()
	time.Sleep(seconds(1.2))
	second.version = "v2"
	second.start()
	time.Sleep(seconds(2))
	if l.trouble {
		l.store.setDown(false)
	}
	running.Wait()
	requireStreams(attempts)
	mixed := 0
	for _, a := range attempts {
		if a.versions() > 1 {
			mixed++
			l.note("stream %s holds events of %d versions: %s", a.id, a.versions(), a.sources())
		}
	}
	l.note("%d of %d streams hold events of two versions; more than two break the rule", mixed, versionStreams)
	return mixed > 2
}
