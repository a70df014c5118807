package vm_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

// softwareEngine is an engine of a software version. Engines of different versions give different
// answers.
type softwareEngine struct {
	*enginefake.Engine
	name string
}

// twoSoftwareVersions publishes engines of two versions in place of the rig's engine.
func twoSoftwareVersions(engines map[string][]*softwareEngine, perVersion int) func(r *rig) {
	return func(r *rig) {
		r.set.BackendServers = r.set.BackendServers[1:]
		for _, version := range []string{"1.0", "1.1"} {
			for i := range perVersion {
				e := &softwareEngine{Engine: enginefake.New(enginefake.Options{TokenGap: 10 * time.Millisecond, Salt: version}), name: fmt.Sprint("e-", version, "-", i)}
				engines[version] = append(engines[version], e)
				r.set.BackendServers = append(r.set.BackendServers, object.BackendServer{Name: e.name, Address: r.serve(e), FailureDomain: "d", Versions: []string{"m-1"}, MaxConcurrent: 64, SoftwareVersion: version})
			}
		}
	}
}

// isAnswerOfOneVersion reports whether a text is the whole answer of engines of one version.
func isAnswerOfOneVersion(engines map[string][]*softwareEngine, key, text string) bool {
	seed := generation.SeedFor(generation.RequestID{Account: "a", Key: key})
	for _, alike := range engines {
		if text == alike[0].ExpectedText("engine-m", seed, "p", softwareTokens) {
			return true
		}
	}
	return false
}

// softwareStream is a caller's stream of which a part was read.
type softwareStream struct {
	key      string
	body     string
	response *http.Response
	scanner  *bufio.Scanner
	text     string
	cursor   string
	done     bool
	code     string // Of an error that ended the stream.
}

const (
	softwareTokens = 200 // Two seconds.
	softwareBody   = `{"model":"m","prompt":"p","max_tokens":200,"stream":true}`
)

// open opens the stream at a VM, behind the part that was read.
func (s *softwareStream) open(r *rig, number int) bool {
	request := r.caller(number, "a", "POST", "/v1/completions", s.body)
	request.Header.Set("Idempotency-Key", s.key)
	if s.cursor != "" {
		request.Header.Set("Last-Event-ID", s.cursor)
	}
	response, err := r.transport().RoundTrip(request)
	if err != nil || response.StatusCode == http.StatusOK {
		s.response = response
		if err == nil {
			s.scanner = bufio.NewScanner(response.Body)
		}
		return err == nil
	}
	s.code = readReply(response).code()
	return false
}

// read reads some events, or to the end if events is 0. An event counts once its empty line came.
func (s *softwareStream) read(events int) {
	id, data := "", ""
	for seen := 0; (events == 0 || seen < events) && s.scanner.Scan(); {
		line := s.scanner.Text()
		if field, found := strings.CutPrefix(line, "id: "); found {
			id = field
		}
		if field, found := strings.CutPrefix(line, "data: "); found {
			data = field
		}
		if line != "" || data == "" {
			continue
		}
		switch {
		case data == "[DONE]":
			s.done = true
		case strings.Contains(data, `"error"`):
			s.code = codeOf(data)
		default:
			s.cursor = id
			s.text += textOf(data)
			seen++
		}
		id, data = "", ""
	}
}

// readToEnd reads the rest, and returns to other VMs while the stream breaks or moves.
func (s *softwareStream) readToEnd(r *rig, others ...int) {
	s.read(0)
	for turn := 0; !s.done && (s.code == "" || strings.HasPrefix(s.code, "moved/")) && turn < 100; turn++ {
		s.code = ""
		if s.open(r, others[turn%len(others)]) {
			s.read(0)
			continue
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// readAllToEnd reads the rest of the streams and checks that each has the answer of one version.
func readAllToEnd(r *rig, engines map[string][]*softwareEngine, streams []*softwareStream, others ...int) {
	var reading sync.WaitGroup
	for _, s := range streams {
		reading.Go(func() {
			s.readToEnd(r, others...)
			qt.Check(r.t, s.code, qt.Equals, "")
			qt.Check(r.t, isAnswerOfOneVersion(engines, s.key, s.text), qt.IsTrue, qt.Commentf("%s: joined", s.key))
		})
	}
	reading.Wait()
}

// beginStreams opens streams at VM 0 and reads the beginning of each.
func beginStreams(r *rig, count int, body string) []*softwareStream {
	streams := []*softwareStream{}
	for i := range count {
		s := &softwareStream{key: fmt.Sprint("k", i), body: body}
		qt.Assert(r.t, s.open(r, 0), qt.IsTrue)
		r.t.Cleanup(func() { _ = s.response.Body.Close() })
		streams = append(streams, s)
	}
	for _, s := range streams {
		s.read(5)
	}
	return streams
}

// TestAnswerStaysAtTheSoftwareVersionThatBeganIt guards against answers that engines of two software
// versions wrote, after the loss of engines, a hang, a take-over and the loss of the owner.
func TestAnswerStaysAtTheSoftwareVersionThatBeganIt(t *testing.T) {
	for _, c := range []struct {
		name   string
		others []int
		fault  func(r *rig, engines map[string][]*softwareEngine, streams []*softwareStream)
	}{
		{"engines are lost", []int{0}, func(_ *rig, engines map[string][]*softwareEngine, _ []*softwareStream) {
			engines["1.0"][0].Kill()
			engines["1.1"][0].Kill()
		}},
		{"engines hang", []int{0}, func(_ *rig, engines map[string][]*softwareEngine, _ []*softwareStream) {
			for _, alike := range engines {
				alike[0].SetFaults(enginefake.Faults{PauseAtToken: 1, PauseMillis: 4000})
			}
		}},
		{"another VM takes over", []int{1, 2}, func(_ *rig, engines map[string][]*softwareEngine, streams []*softwareStream) {
			for _, s := range streams {
				_ = s.response.Body.Close()
			}
			engines["1.0"][0].Kill()
			engines["1.1"][0].Kill()
		}},
		{"the owner is lost", []int{1, 2}, func(r *rig, engines map[string][]*softwareEngine, _ []*softwareStream) {
			r.stops[0]()
			engines["1.0"][0].Kill()
			engines["1.1"][0].Kill()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			engines := map[string][]*softwareEngine{}
			r := newRig(t, options{vms: 3, drainLimit: "50ms", configure: twoSoftwareVersions(engines, 2)})
			streams := beginStreams(r, 24, softwareBody)
			c.fault(r, engines, streams)
			readAllToEnd(r, engines, streams, c.others...)
		})
	}
}

// TestCursorGoesOnAtItsSoftwareVersionOnly guards against an answer that is made again, after the loss
// of every copy, at engines of another software version than the delivered part.
func TestCursorGoesOnAtItsSoftwareVersionOnly(t *testing.T) {
	engines := map[string][]*softwareEngine{}
	first := newRig(t, options{vms: 1, configure: twoSoftwareVersions(engines, 1)})
	streams := beginStreams(first, 24, softwareBody)
	later := map[string][]*softwareEngine{}
	second := newRig(t, options{vms: 1, configure: twoSoftwareVersions(later, 2)})
	for _, s := range streams {
		_ = s.response.Body.Close()
	}
	readAllToEnd(second, engines, streams, 0)
}

// TestAnswerWhoseSoftwareVersionIsGoneEndsAtOnce guards against waiting for the deadline, and against
// going on at another version, when no engine of the version is published any more.
func TestAnswerWhoseSoftwareVersionIsGoneEndsAtOnce(t *testing.T) {
	engines := map[string][]*softwareEngine{}
	r := newRig(t, options{vms: 2, configure: twoSoftwareVersions(engines, 1)})
	endless := strings.Replace(softwareBody, "200", "100000", 1)
	streams := beginStreams(r, 24, endless)
	r.set.BackendServers = r.set.BackendServers[:len(r.set.BackendServers)-2]
	r.set.BackendServers = append(r.set.BackendServers, object.BackendServer{Name: "e-1.2", Address: r.serve(enginefake.New(enginefake.Options{Salt: "1.2"})), FailureDomain: "d", Versions: []string{"m-1"}, MaxConcurrent: 64, SoftwareVersion: "1.2"})
	publish := r.operator(0, "PUT", "/v1/admin/configuration", string(object.Encode(r.set)))
	publish.Header.Set("If-Match", `"1"`)
	answer := r.send(publish)
	qt.Assert(t, answer.status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer.body))
	r.eventually("the configuration is in force", func() bool {
		_, found := r.vms[0].Snapshot().Set.Server("e-1.2")
		return found
	})
	for _, alike := range engines {
		alike[0].Kill()
	}
	for _, s := range streams {
		s.read(0)
		qt.Check(t, s.code, qt.Equals, "restartRequired/failed")
	}
	for _, s := range streams {
		again := &softwareStream{key: s.key + "-again", body: softwareBody}
		qt.Assert(t, again.open(r, 1), qt.IsTrue)
		again.read(0)
		qt.Check(t, again.done, qt.IsTrue)
	}
}
