package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["failing"] = failingCase }

const failingBookings = 400

// failingCase has one of two workers fail a part of its requests: it runs them and answers 503, without the
// header that says that it has not. Clients try once more after an answer that says so.
func failingCase(l *lab) (broken bool) {
	l.store.put("op", "config", configuration(1))
	options := []string{}
	if l.trouble {
		options = []string{"-failing", "0.45"}
	}
	l.addWorker("i-desk-a", "desk", "a", "v1", options...)
	l.addWorker("i-desk-b", "desk", "b", "v1")
	l.startVMs("a", "b")
	first, second := make([]*attempt, failingBookings), make([]*attempt, failingBookings)
	running := sync.WaitGroup{}
	for i := range first {
		running.Go(func() {
			path := fmt.Sprintf("%screw-%d", deskPrefix, i+1)
			first[i] = l.send(l.vms[i%2], fmt.Sprintf("r%08d", i+1), "POST", path, "a booking", nil)
			if first[i].status == http.StatusServiceUnavailable {
				second[i] = l.send(l.vms[(i+1)%2], fmt.Sprintf("r%08d", 1000+i+1), "POST", path, "a booking", nil)
			}
		})
		time.Sleep(16 * time.Millisecond)
	}
	running.Wait()
	time.Sleep(seconds(0.2))
	ran := map[string]bool{}
	for _, line := range l.recorded(`worker \S+: runs (\S+) POST`) {
		ran[line[1]] = true
	}
	refused, doubled := 0, 0
	for i, a := range first {
		if a.status != http.StatusServiceUnavailable || !ran[a.id] {
			continue
		}
		refused++
		if second[i] != nil && ran[second[i].id] {
			doubled++
		}
	}
	l.note("%d of %d bookings were answered 503 and had run; any breaks the rule. %d of them ran again as the client's next attempt", refused, failingBookings, doubled)
	return refused > 0
}
