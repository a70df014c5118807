package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["rejoin"] = rejoinCase }

const (
	rejoinStreams = 16
	rejoinRounds  = 4
	// inTouchAfter is when the machines are in touch again after their start: contact_ms and a margin.
	inTouchAfter = 3500 * time.Millisecond
)

// rejoinCase kills all processes of the system shortly after streams have begun, while workers of two software
// versions serve. The clients take the streams up again when the machines are in touch.
func rejoinCase(l *lab) (broken bool) {
	l.store.put("op", "config", configuration(1))
	for _, version := range []string{"v1", "v2"} {
		for _, zone := range []string{"a", "b"} {
			l.addWorker("i-model-"+zone+version, "model", zone, version, "-events", "150")
		}
	}
	l.startVMs("a", "b", "a")
	for round := range rejoinRounds {
		broken = l.rejoinRound(round) || broken
	}
	return broken
}

func (l *lab) rejoinRound(round int) (broken bool) {
	// The rounds begin at different moments between two writes of the machines, which are half a second apart.
	time.Sleep(seconds(2) + time.Duration(round)*125*time.Millisecond)
	first := make([]*attempt, rejoinStreams)
	running := sync.WaitGroup{}
	for i := range first {
		running.Go(func() { first[i] = l.sendNamed(round, i, "a", 0, "") })
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(seconds(0.25))
	if l.trouble {
		for _, v := range l.vms {
			v.signal(syscall.SIGKILL)
		}
		for _, v := range l.vms {
			_ = v.cmd.Wait()
		}
		time.Sleep(time.Second)
		for _, v := range l.vms {
			v.start()
		}
		for _, v := range l.vms {
			l.within(startLimit, v.name+" is ready", v.isReady)
		}
	} else {
		time.Sleep(time.Second)
		for _, a := range l.cancels {
			a() // The clients close their connections.
		}
	}
	running.Wait()
	requireStreams(first)
	time.Sleep(inTouchAfter)
	again, begun := make([]*attempt, rejoinStreams), make([]*attempt, rejoinStreams)
	for i := range first {
		running.Go(func() { again[i] = l.sendNamed(round, i, "b", len(first[i].events), first[i].id) })
		running.Go(func() { begun[i] = l.sendNamed(round, i+100, "c", 0, "") })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(seconds(2))
	for _, cancel := range l.cancels {
		cancel()
	}
	running.Wait()
	wentOn, new := 0, 0
	for i := range first {
		if len(again[i].events) > 0 {
			wentOn++
		}
		if len(begun[i].events) > 0 {
			new++
		}
	}
	l.note("round %d: of %d streams that were taken up %d went on; of %d new ones %d began", round+1, rejoinStreams, wentOn, rejoinStreams, new)
	return 2*wentOn < new
}

// sendNamed sends a stream's first or a later attempt, which ends when the lab cancels it.
func (l *lab) sendNamed(round, i int, try string, last int, resumes string) *attempt {
	ctx, cancel := context.WithCancel(context.Background())
	l.mu.Lock()
	l.cancels = append(l.cancels, cancel)
	l.mu.Unlock()
	return l.sendUntil(ctx, l.vms[i%len(l.vms)], fmt.Sprintf("r%d%03d%s", round, i, try), "POST", fmt.Sprintf("%sjob-%d-%d", modelPrefix, round, i), "a job file", func(h http.Header) {
		h.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:100,%x:400", 1000*(round+1)+i))
		if resumes != "" {
			h.Set("Last-Event-Id", strconv.Itoa(last))
			h.Set("Resumes", resumes)
		}
	})
}
