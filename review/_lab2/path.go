package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"time"
)

func init() { cases["path"] = pathCase }

// pathCase sends bookings whose path begins with two slashes, as of a base address that ends with a slash,
// to a route with the prefix "/".
func pathCase(l *lab) (broken bool) {
	c := configuration(1)
	c["routes"] = append(c["routes"].([]any), route("any", "/", "non_idempotent", "desk", 1))
	l.store.put("op", "config", c)
	l.addWorker("i-desk-a", "desk", "a", "v1")
	l.addWorker("i-desk-b", "desk", "b", "v1")
	l.startVMs("a", "b")
	slashes := "/"
	if l.trouble {
		slashes = "//"
	}
	sent := map[string]string{} // Target by request id.
	for i := range 20 {
		id := fmt.Sprintf("r%08d", i+1)
		sent[id] = fmt.Sprintf("%screws/north%%2Feast-%d/book", slashes, i+1)
		l.sendRaw(l.vms[i%2], id, sent[id])
	}
	time.Sleep(seconds(0.5))
	ran := 0
	for _, line := range l.recorded(`worker \S+: runs (\S+) POST (\S+),`) {
		ran++
		if sent[line[1]] != line[2] {
			broken = true
			l.note("request %s was sent for %s and ran for %s", line[1], sent[line[1]], line[2])
		}
	}
	if ran < 20 {
		panic(cannotRun("not all requests ran"))
	}
	return broken
}

// sendRaw sends a booking with a target as it is written.
func (l *lab) sendRaw(v *vm, id, target string) {
	connection, err := net.Dial("tcp", v.front)
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(5 * time.Second))
	l.note("client sends %s POST %s to %s", id, target, v.name)
	fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token %s\r\nContent-Length: 9\r\n\r\na booking", target, hostName, id, clientKey)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		l.note("client: %s ends without an answer: %v", id, err)
		return
	}
	_ = response.Body.Close()
	l.note("client: %s ends: status %d, signed %v", id, response.StatusCode, response.Header.Get("X-Response-Seal") != "")
}

// recorded returns the matches of a pattern in the record.
func (l *lab) recorded(pattern string) [][]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	raw := make([]byte, 1<<24)
	n, _ := l.record.ReadAt(raw, 0)
	found := [][]string{}
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(raw[:n]), -1) {
		found = append(found, match)
	}
	return found
}
