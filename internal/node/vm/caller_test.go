package vm_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"github.com/endivespoke/endivespoke/internal/caller/client"
	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
	"github.com/endivespoke/endivespoke/internal/lab/golden"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

func expected(account, key, prompt string, tokens int) string {
	return enginefake.ExpectedText("engine-m", generation.SeedFor(generation.RequestID{Account: account, Key: key}), prompt, tokens)
}

// TestOpenAIClient drives the API with a client that others made.
func TestOpenAIClient(t *testing.T) {
	r := newRig(t, options{vms: 2})
	ctx := context.Background()
	c := openai.NewClient(option.WithBaseURL("http://"+r.vms[0].CallerAddress()+"/v1/"), option.WithAPIKey("a-token"))
	whole, err := c.Completions.New(ctx, openai.CompletionNewParams{Model: "m", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("wall seven")}, MaxTokens: openai.Int(20), Seed: openai.Int(7)})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, whole.Choices[0].Text, qt.Equals, enginefake.ExpectedText("engine-m", 7, "wall seven", 20))
	qt.Assert(t, whole.Usage.CompletionTokens, qt.Equals, int64(20))

	stream := c.Completions.NewStreaming(ctx, openai.CompletionNewParams{Model: "m", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("wall seven")}, MaxTokens: openai.Int(20), Seed: openai.Int(7)})
	text := ""
	for stream.Next() {
		text += stream.Current().Choices[0].Text
	}
	qt.Assert(t, stream.Err(), qt.IsNil)
	qt.Assert(t, text, qt.Equals, whole.Choices[0].Text)

	chat, err := c.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{Model: "m", MaxTokens: openai.Int(5), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("mix for wall seven")}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Fields(chat.Choices[0].Message.Content), qt.HasLen, 5)
	chatStream := c.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{Model: "m", MaxTokens: openai.Int(5), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("mix for wall seven")}})
	pieces := ""
	for chatStream.Next() {
		pieces += chatStream.Current().Choices[0].Delta.Content
	}
	qt.Assert(t, chatStream.Err(), qt.IsNil)
	qt.Assert(t, strings.Fields(pieces), qt.HasLen, 5)
}

// badInputs are requests that are refused, each with its stable code.
func badInputs() map[string]func(r *rig) *http.Request {
	post := func(body string) func(r *rig) *http.Request {
		return func(r *rig) *http.Request { return r.caller(0, "a", "POST", "/v1/completions", body) }
	}
	withHeader := func(name, value string) func(r *rig) *http.Request {
		return func(r *rig) *http.Request {
			request := r.caller(0, "a", "POST", "/v1/completions", `{"model":"m","prompt":"p"}`)
			request.Header.Set(name, value)
			return request
		}
	}
	call := func(account, method, path string) func(r *rig) *http.Request {
		return func(r *rig) *http.Request { return r.caller(0, account, method, path, "") }
	}
	return map[string]func(r *rig) *http.Request{
		"malformed JSON":      post(`{"model":`),
		"unknown field":       post(`{"model":"m","prompt":"p","promt":"q"}`),
		"no prompt":           post(`{"model":"m"}`),
		"unknown model":       post(`{"model":"nobody","prompt":"p"}`),
		"unknown priority":    post(`{"model":"m","prompt":"p","priority":"vip"}`),
		"several choices":     post(`{"model":"m","prompt":"p","n":2}`),
		"too many tokens":     post(`{"model":"m","prompt":"p","max_tokens":99999999}`),
		"body too large":      post(`{"model":"m","prompt":"` + strings.Repeat("x", 5<<20) + `"}`),
		"key too long":        withHeader("Idempotency-Key", strings.Repeat("k", 201)),
		"key with a blank":    withHeader("Idempotency-Key", "a b"),
		"cursor of nobody":    withHeader("Last-Event-ID", "AAAA"),
		"deadline is no time": withHeader("Request-Deadline", "soon"),
		"deadline has passed": withHeader("Request-Deadline", "2020-01-01T00:00:00Z"),
		"unknown token":       call("stranger", "POST", "/v1/completions"),
		"unknown request":     call("a", "GET", "/v1/requests/nothing"),
		"model not allowed": func(r *rig) *http.Request {
			return r.caller(0, "restricted", "POST", "/v1/completions", `{"model":"m","prompt":"p"}`)
		},
		"service not allowed":  call("restricted", "GET", "/v1/services/booking/calendar"),
		"unknown service":      call("a", "GET", "/v1/services/nobody/calendar"),
		"undeclared operation": call("a", "DELETE", "/v1/services/booking/bookings"),
		"action without key":   call("a", "POST", "/v1/services/booking/bookings"),
		"operator with caller token": func(r *rig) *http.Request {
			return r.request(r.vms[0].OperatorAddress(), "a-token", "GET", "/v1/admin/status", "")
		},
		"publish of a wrong revision": func(r *rig) *http.Request { return r.operator(0, "PUT", "/v1/admin/configuration", "{}") },
		"publish of nonsense":         func(r *rig) *http.Request { return r.operator(0, "PUT", "/v1/admin/configuration", "[") },
	}
}

// TestBadInputGolden wants a clear, stable error for each, and nothing run.
func TestBadInputGolden(t *testing.T) {
	r := newRig(t, options{vms: 1})
	lines := []string{}
	inputs := badInputs()
	for _, name := range slices.Sorted(maps.Keys(inputs)) {
		answer := r.send(inputs[name](r))
		lines = append(lines, fmt.Sprintf("%s: %d %s", name, answer.status, answer.code()))
	}
	golden.Compare(t, "testdata/bad-input.golden", strings.Join(lines, "\n")+"\n")
	qt.Assert(t, r.engine.Stats().Requests, qt.Equals, 0)
	qt.Assert(t, r.service.AllExecutions(), qt.HasLen, 0)
}

var idLine = regexp.MustCompile(`(?m)^id: (.*)$`)

func lastCursor(body string) string {
	found := idLine.FindAllStringSubmatch(body, -1)
	return found[len(found)-1][1]
}

// TestNobodyReadsAnothersAnswer tries another account's key and cursor, on the
// same VM and on another.
func TestNobodyReadsAnothersAnswer(t *testing.T) {
	r := newRig(t, options{vms: 2})
	own := r.caller(0, "a", "POST", "/v1/completions", `{"model":"m","prompt":"secret","max_tokens":9,"stream":true}`)
	own.Header.Set("Idempotency-Key", "shared")
	mine := r.send(own)
	qt.Assert(t, mine.status, qt.Equals, http.StatusOK)
	for number := range r.vms {
		theirs := r.caller(number, "b", "GET", "/v1/requests/shared", "")
		qt.Assert(t, r.send(theirs).code(), qt.Equals, "notFound/stateNotKnown")
		theirs = r.caller(number, "b", "GET", "/v1/requests/shared", "")
		theirs.Header.Set("Last-Event-ID", lastCursor(mine.body))
		qt.Assert(t, r.send(theirs).code(), qt.Equals, "cursorInvalid/notRun")
	}
	other := r.caller(1, "b", "POST", "/v1/completions", `{"model":"m","prompt":"open","max_tokens":4}`)
	other.Header.Set("Idempotency-Key", "shared")
	qt.Assert(t, strings.Contains(r.send(other).body, expected("b", "shared", "open", 4)), qt.IsTrue)
}

// TestReaskedKeyGetsTheSameAnswer asks again on every VM, also with another body.
func TestReaskedKeyGetsTheSameAnswer(t *testing.T) {
	r := newRig(t, options{vms: 3})
	ask := func(number int, prompt string) reply {
		request := r.caller(number, "a", "POST", "/v1/completions", `{"model":"m","prompt":"`+prompt+`","max_tokens":6}`)
		request.Header.Set("Idempotency-Key", "once")
		return r.send(request)
	}
	first := ask(0, "one")
	qt.Assert(t, first.status, qt.Equals, http.StatusOK)
	for number := range r.vms {
		again := ask(number, "one")
		qt.Assert(t, again.status, qt.Equals, http.StatusOK)
		qt.Assert(t, strings.Contains(again.body, expected("a", "once", "one", 6)), qt.IsTrue)
		qt.Assert(t, ask(number, "two").code(), qt.Equals, "keyReused/notRun")
	}
	qt.Assert(t, r.engine.Stats().Requests, qt.Equals, 1)
}

// TestSameKeyAtOnceOnEveryVM sends one request through every VM at the same
// time. Whoever gets an answer gets the whole right one.
func TestSameKeyAtOnceOnEveryVM(t *testing.T) {
	r := newRig(t, options{vms: 4, engine: enginefake.Options{TokenGap: 2 * time.Millisecond}})
	entries := []string{}
	for _, machine := range r.vms {
		entries = append(entries, "http://"+machine.CallerAddress())
	}
	answers := make(chan string, 8)
	for i := range cap(answers) {
		go func() {
			c := client.New(client.Options{Entries: []string{entries[i%len(entries)]}, Token: "a-token"})
			answer, err := c.Generate(context.Background(), client.Request{Key: "same", Model: "m", Prompt: "p", MaxTokens: 60}, nil)
			if err != nil {
				answer.Text = err.Error()
			}
			answers <- answer.Text
		}()
	}
	for range cap(answers) {
		qt.Check(t, <-answers, qt.Equals, expected("a", "same", "p", 60))
	}
}

// TestCallerGoneForGoodFreesTheEngine leaves in the middle and wants the engine
// told after the grace; one who comes back within it loses nothing.
func TestCallerGoneForGoodFreesTheEngine(t *testing.T) {
	r := newRig(t, options{vms: 2, grace: "1s", engine: enginefake.Options{TokenGap: 20 * time.Millisecond}})
	leave := func(key string) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		request := r.caller(0, "a", "POST", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":150,"stream":true}`).WithContext(ctx)
		request.Header.Set("Idempotency-Key", key)
		r.send(request)
	}
	leave("back")
	back := r.caller(0, "a", "GET", "/v1/requests/back", "")
	answer := r.send(back)
	qt.Assert(t, answer.status, qt.Equals, http.StatusOK)
	qt.Assert(t, strings.Contains(answer.body, expected("a", "back", "p", 150)), qt.IsTrue)
	qt.Assert(t, r.engine.Stats().Cancelled, qt.Equals, 0)
	leave("gone")
	r.eventually("the engine is told", func() bool { return r.engine.Stats().Cancelled == 1 })
}

// TestTraceReachesEngineAndCollector follows one trace from the caller on.
func TestTraceReachesEngineAndCollector(t *testing.T) {
	var exported atomic.Int64
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/traces" {
			exported.Add(1)
		}
	}))
	defer collector.Close()
	var seen atomic.Pointer[string]
	r := newRig(t, options{vms: 1, trace: collector.URL + "/v1/traces"})
	r.engine.OnHeader = func(header http.Header) {
		parent := header.Get("Traceparent")
		seen.Store(&parent)
	}
	request := r.caller(0, "a", "POST", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":2}`)
	request.Header.Set("Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	qt.Assert(t, r.send(request).status, qt.Equals, http.StatusOK)
	qt.Assert(t, *seen.Load(), qt.Contains, "0af7651916cd43dd8448eb211c80319c")
	r.eventually("spans are exported", func() bool { return exported.Load() > 0 })
}

// TestGenerationGetsItsCopyWhenAPeerAppears accepts a generation while the VM
// knows no other, as just after a start with a lagging list. It caught such
// generations staying without a copy to their end.
func TestGenerationGetsItsCopyWhenAPeerAppears(t *testing.T) {
	r := newRig(t, options{vms: 2, unlisted: true, engine: enginefake.Options{TokenGap: 20 * time.Millisecond}})
	done := make(chan reply, 1)
	go func() {
		done <- r.send(r.caller(0, "a", "POST", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":400}`))
	}()
	r.eventually("the generation runs", func() bool { return r.engine.Stats().Requests == 1 })
	r.platform.SetVMs(r.listed)
	r.eventually("a copy is held", func() bool {
		return strings.Contains(r.send(r.operator(1, "GET", "/metrics", "")).body, "endivespoke_copies_held 1")
	})
	qt.Assert(t, (<-done).status, qt.Equals, http.StatusOK)
}
