// Package client is the caller's side of the system: it asks which VM to use,
// streams a generation, and goes on behind its cursor through another VM when a
// connection breaks or falls silent. The command line and the load tool use it.
//
// # Usage
//
//	c := client.New(client.Options{Entries: []string{"http://10.0.0.1:8080"}, Token: token})
//	answer, err := c.Generate(ctx, client.Request{Key: key, Model: "m", Prompt: "...", MaxTokens: 100}, nil)
//	var refused *client.Refused
//	if errors.As(err, &refused) { ... } // the system's final word
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/caller/locate"
	"github.com/endivespoke/endivespoke/internal/caller/problem"
)

const (
	// silenceLimit is how long a stream may be silent; the system sends a comment
	// twice a second when there is nothing else.
	silenceLimit = 1500 * time.Millisecond
	// headerLimit bounds the wait for the first byte of an answer's stream.
	headerLimit = 60 * time.Second
	// retryPause is the wait before the same VMs are tried again.
	retryPause = 50 * time.Millisecond
	// dialLimit bounds the opening of a connection.
	dialLimit = 500 * time.Millisecond
	// maxEventBytes bounds one line of a stream.
	maxEventBytes = 4 << 20
)

// Options shapes a Client. Entries are base URLs of VMs to ask first.
type Options struct {
	Entries     []string
	Token       string
	IdleTimeout time.Duration
}

// Client calls one system for one client account. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client

	mu        sync.Mutex
	bases     []string
	keepUntil time.Time
	turn      int
}

// New makes a client.
func New(options Options) *Client {
	if options.IdleTimeout == 0 {
		options.IdleTimeout = silenceLimit
	}
	transport := &http.Transport{
		DisableKeepAlives: true, // A kept connection may have gone silent.
		DialContext:       (&net.Dialer{Timeout: dialLimit}).DialContext,
	}
	return &Client{options: options, http: &http.Client{Transport: transport}}
}

// Request is one generation to ask for.
type Request struct {
	Key       string
	Model     string
	Prompt    string
	MaxTokens int
	Seed      *int64
	Priority  string
	Deadline  time.Time
}

// Answer is a complete answer, with what it took to get it. Gaps are the times
// from the last text before a break to the first after it.
type Answer struct {
	Text        string
	Finish      string
	Events      int
	Reconnects  int
	Restarts    int
	FirstToken  time.Duration
	TokenGaps   []time.Duration
	ResumeGaps  []time.Duration
	Generations map[string]bool // Every generation id that was seen.
}

// ProblemError is the system's final word on a request.
type ProblemError struct {
	Document problem.Document
	RetryAt  time.Time
}

// Error gives the system's own words.
func (r *ProblemError) Error() string {
	return string(r.Document.Code) + " (" + string(r.Document.Outcome) + "): " + r.Document.Detail
}

// errBroken means that the connection is of no more use, and the answer is to
// be continued through another.
const errBroken = errors.ConstError("stream broke")

type body struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      *int64 `json:"seed,omitempty"`
	Priority  string `json:"priority,omitempty"`
	Stream    bool   `json:"stream"`
}

// stream is one request on its way through connections.
type stream struct {
	request Request
	encoded []byte
	cursor  string // Of the last event taken.
	pending string // Read, but its event's data has not come yet.
	text    strings.Builder
	answer  Answer
	lastAt  time.Time
	broken  bool
	start   time.Time
	onText  func(string)
}

// Generate asks for an answer and stays with it to its end. onText, when not
// nil, gets the text as it comes.
func (c *Client) Generate(ctx context.Context, request Request, onText func(string)) (answer Answer, err error) {
	s := &stream{request: request, start: time.Now(), onText: onText}
	s.answer.Generations = map[string]bool{}
	if s.encoded, err = json.Marshal(body{Model: request.Model, Prompt: request.Prompt, MaxTokens: request.MaxTokens, Seed: request.Seed, Priority: request.Priority, Stream: true}); err != nil {
		return Answer{}, errors.Trace(err)
	}
	for {
		err = c.follow(ctx, s)
		s.answer.Text = s.text.String()
		if err == nil {
			return s.answer, nil
		}
		if !s.goOn(err) || ctx.Err() != nil {
			return s.answer, err
		}
		if s.cursor != "" {
			s.answer.Reconnects++
			s.broken = true
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return s.answer, errors.Trace(ctx.Err())
		}
	}
}

// goOn reports whether another connection may help.
func (s *stream) goOn(err error) bool {
	var refused *ProblemError
	if !errors.As(err, &refused) {
		return true
	}
	switch refused.Document.Code {
	case problem.RestartRequired:
		s.restart()
		return true
	case problem.Moved, problem.ConfigurationOutdated, problem.NotFound:
		return true
	}
	return false
}

// restart drops what was delivered: the answer begins again, and says so.
func (s *stream) restart() {
	s.answer.Restarts++
	s.cursor = ""
	s.text.Reset()
	s.request.Key += "-restarted"
}

// follow reads one connection until the answer's end or a break.
func (c *Client) follow(ctx context.Context, s *stream) (err error) {
	var base string
	if base, err = c.next(ctx); err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := time.AfterFunc(headerLimit, cancel)
	defer watch.Stop()
	var call *http.Request
	if call, err = http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", bytes.NewReader(s.encoded)); err != nil {
		return errors.Trace(err)
	}
	c.head(call, s)
	var response *http.Response
	if response, err = c.http.Do(call); err != nil {
		c.shun(base)
		return errors.Annotatef(errBroken, "%v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusedBy(response)
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	watch.Reset(c.options.IdleTimeout)
	ended := false
	for scanner.Scan() {
		watch.Reset(c.options.IdleTimeout)
		if ended, err = s.line(scanner.Bytes()); ended || err != nil {
			return err
		}
	}
	c.shun(base)
	return errors.Annotatef(errBroken, "%v", scanner.Err())
}

func (c *Client) head(call *http.Request, s *stream) {
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set("Accept", "text/event-stream")
	call.Header.Set("Authorization", "Bearer "+c.options.Token)
	if s.request.Key != "" {
		call.Header.Set("Idempotency-Key", s.request.Key)
	}
	if s.cursor != "" {
		call.Header.Set("Last-Event-ID", s.cursor)
	}
	if !s.request.Deadline.IsZero() {
		call.Header.Set("Request-Deadline", s.request.Deadline.Format(time.RFC3339Nano))
	}
}

type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error *problem.Document `json:"error"`
}

// line takes in one line of a stream and reports whether the answer ended.
func (s *stream) line(line []byte) (ended bool, err error) {
	if id, found := bytes.CutPrefix(line, []byte("id: ")); found {
		s.answer.Events++
		s.pending = string(id)
		return false, nil
	}
	data, found := bytes.CutPrefix(line, []byte("data: "))
	if !found {
		return false, nil
	}
	if bytes.Equal(data, []byte("[DONE]")) {
		return true, nil
	}
	var decoded chunk
	if err = json.Unmarshal(data, &decoded); err != nil {
		return false, errors.Annotatef(errBroken, "event is not JSON: %v", err)
	}
	if decoded.Error != nil {
		return false, &ProblemError{Document: *decoded.Error}
	}
	s.take(decoded)
	return false, nil
}

func (s *stream) take(decoded chunk) {
	s.cursor = s.pending
	s.answer.Generations[decoded.ID] = true
	if len(decoded.Choices) == 0 {
		return
	}
	choice := decoded.Choices[0]
	if choice.FinishReason != "" {
		s.answer.Finish = choice.FinishReason
	}
	if choice.Text == "" {
		return
	}
	s.timed(time.Now())
	s.text.WriteString(choice.Text)
	if s.onText != nil {
		s.onText(choice.Text)
	}
}

// timed measures the gap before some text.
func (s *stream) timed(now time.Time) {
	switch {
	case s.lastAt.IsZero():
		s.answer.FirstToken = now.Sub(s.start)
	case s.broken:
		s.answer.ResumeGaps = append(s.answer.ResumeGaps, now.Sub(s.lastAt))
	default:
		s.answer.TokenGaps = append(s.answer.TokenGaps, now.Sub(s.lastAt))
	}
	s.broken = false
	s.lastAt = now
}

func refusedBy(response *http.Response) error {
	refused := &ProblemError{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxEventBytes)).Decode(&refused.Document); err != nil || refused.Document.Code == "" {
		return errors.Annotatef(errBroken, "answered %s", response.Status)
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		refused.RetryAt = time.Now().Add(time.Duration(seconds) * time.Second)
	}
	return refused
}

// next gives the VM to use, and asks the system when the last answer lapsed.
func (c *Client) next(ctx context.Context) (string, error) {
	c.mu.Lock()
	lapsed := len(c.bases) == 0 || time.Now().After(c.keepUntil)
	c.mu.Unlock()
	if lapsed {
		c.locate(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.bases) == 0 {
		return "", errors.Annotate(errBroken, "no VM answers")
	}
	c.turn++
	return c.bases[c.turn%len(c.bases)], nil
}

// locate asks one VM after another which to use.
func (c *Client) locate(ctx context.Context) {
	c.mu.Lock()
	ask := append(append([]string{}, c.bases...), c.options.Entries...)
	c.mu.Unlock()
	for _, base := range ask {
		askCtx, cancel := context.WithTimeout(ctx, c.options.IdleTimeout)
		answer, err := locate.Fetch(askCtx, c.http, base)
		cancel()
		if err != nil || len(answer.Entries) == 0 {
			continue
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.keepUntil = answer.KeepUntil
		c.bases = c.bases[:0]
		for _, entry := range answer.Entries {
			c.bases = append(c.bases, "http://"+entry.Address)
		}
		return
	}
}

// shun takes a VM out of the list until the next answer.
func (c *Client) shun(base string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := []string{}
	for _, known := range c.bases {
		if known != base {
			kept = append(kept, known)
		}
	}
	c.bases = kept
}

// Call makes one call of a plain service. It does not repeat it.
func (c *Client) Call(ctx context.Context, method, path, key string, content []byte) (status int, reply []byte, err error) {
	var base string
	if base, err = c.next(ctx); err != nil {
		return 0, nil, errors.Trace(err)
	}
	if status, reply, err = c.CallVM(ctx, base, method, path, key, content); err != nil {
		c.shun(base)
	}
	return status, reply, err
}

// CallVM makes one call through the VM with a base URL.
func (c *Client) CallVM(ctx context.Context, base, method, path, key string, content []byte) (status int, reply []byte, err error) {
	var call *http.Request
	if call, err = http.NewRequestWithContext(ctx, method, base+"/v1/services/"+path, bytes.NewReader(content)); err != nil {
		return 0, nil, errors.Trace(err)
	}
	call.Header.Set("Authorization", "Bearer "+c.options.Token)
	call.Header.Set("Content-Type", "application/json")
	if key != "" {
		call.Header.Set("Idempotency-Key", key)
	}
	var response *http.Response
	if response, err = c.http.Do(call); err != nil {
		return 0, nil, errors.Trace(err)
	}
	defer response.Body.Close()
	if reply, err = io.ReadAll(io.LimitReader(response.Body, maxEventBytes)); err != nil {
		return 0, nil, errors.Trace(err)
	}
	return response.StatusCode, reply, nil
}
