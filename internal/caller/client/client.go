// Package client is the client library for callers: it locates the VMs to use,
// streams a generation, and resumes it after its cursor through another VM when a
// connection fails or exceeds the idle timeout. The command line and the load tool
// use it.
//
// # Usage
//
//	c := client.New(client.Options{Entries: []string{"http://10.0.0.1:8080"}, Token: token})
//	answer, err := c.Generate(ctx, client.Request{Key: key, Model: "m", Prompt: "...", MaxTokens: 100}, nil)
//	var problemError *client.ProblemError
//	if errors.As(err, &problemError) { ... } // the final answer is a problem document
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
	// defaultIdleTimeout bounds the time between two lines of a stream. VMs send a
	// comment twice a second when they have no event to send.
	defaultIdleTimeout = 1500 * time.Millisecond
	// headerTimeout bounds the wait for the response header, which a VM sends with
	// the first event.
	headerTimeout = 60 * time.Second
	// retryDelay is the wait before the next connection of a request.
	retryDelay = 50 * time.Millisecond
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// maxEventBytes bounds one line of a stream, and the body of any other answer.
	maxEventBytes = 4 << 20
)

// Options configures a Client. Entries are the base URLs of the VMs that are asked
// first which VMs to use.
type Options struct {
	Entries     []string
	Token       string
	IdleTimeout time.Duration
}

// Client sends requests for one client account. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client

	mu        sync.Mutex
	baseURLs  []string
	keepUntil time.Time
	requests  int
}

func New(options Options) *Client {
	if options.IdleTimeout == 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	transport := &http.Transport{
		DisableKeepAlives: true, // An idle connection may have failed without notice.
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	return &Client{options: options, http: &http.Client{Transport: transport}}
}

// Request describes one generation.
type Request struct {
	Key       string
	Model     string
	Prompt    string
	MaxTokens int
	Seed      *int64
	Priority  string
	Deadline  time.Time
}

// Answer is a complete answer with the measurements of its delivery. TokenGaps are
// the times between consecutive texts. ResumeGaps are the times from the last text
// before an interruption to the first text after it.
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

// ProblemError is a problem document that a VM answered with.
type ProblemError struct {
	Document problem.Document
	RetryAt  time.Time
}

func (r *ProblemError) Error() string {
	return string(r.Document.Code) + " (" + string(r.Document.Outcome) + "): " + r.Document.Detail
}

// errInterrupted means that the connection failed and that the request is to be
// continued over another one.
const errInterrupted = errors.ConstError("stream interrupted")

type body struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      *int64 `json:"seed,omitempty"`
	Priority  string `json:"priority,omitempty"`
	Stream    bool   `json:"stream"`
}

// stream is the state of one request across its connections.
type stream struct {
	request     Request
	encoded     []byte
	cursor      string // Cursor of the last event that was applied.
	pending     string // Cursor of the event whose data has not been read yet.
	text        strings.Builder
	answer      Answer
	lastTextAt  time.Time
	interrupted bool
	start       time.Time
	onText      func(string)
}

// Generate requests an answer and reconnects until it is complete. onText, when
// not nil, is called with each piece of text as it arrives.
func (c *Client) Generate(ctx context.Context, request Request, onText func(string)) (answer Answer, err error) {
	s := &stream{request: request, start: time.Now(), onText: onText}
	s.answer.Generations = map[string]bool{}
	if s.encoded, err = json.Marshal(body{Model: request.Model, Prompt: request.Prompt, MaxTokens: request.MaxTokens, Seed: request.Seed, Priority: request.Priority, Stream: true}); err != nil {
		return Answer{}, errors.Trace(err)
	}
	for {
		err = c.streamOnce(ctx, s)
		s.answer.Text = s.text.String()
		if err == nil {
			return s.answer, nil
		}
		if !s.shouldReconnect(err) || ctx.Err() != nil {
			return s.answer, err
		}
		if s.cursor != "" {
			s.answer.Reconnects++
			s.interrupted = true
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return s.answer, errors.Trace(ctx.Err())
		}
	}
}

// shouldReconnect reports whether the request is to be continued over another
// connection. It restarts the answer if the error requires that.
func (s *stream) shouldReconnect(err error) bool {
	var problemError *ProblemError
	if !errors.As(err, &problemError) {
		return true
	}
	switch problemError.Document.Code {
	case problem.RestartRequired:
		s.restart()
		return true
	case problem.Moved, problem.ConfigurationOutdated, problem.NotFound:
		return true
	}
	return false
}

// restart discards the delivered text and requests the answer again from its
// beginning under a new key.
func (s *stream) restart() {
	s.answer.Restarts++
	s.cursor = ""
	s.text.Reset()
	s.request.Key += "-restarted"
}

// streamOnce sends the request over one connection and reads the stream until the
// answer ends or the connection fails.
func (c *Client) streamOnce(ctx context.Context, s *stream) (err error) {
	var base string
	if base, err = c.nextVM(ctx); err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(headerTimeout, cancel)
	defer timeout.Stop()
	var call *http.Request
	if call, err = http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", bytes.NewReader(s.encoded)); err != nil {
		return errors.Trace(err)
	}
	c.setHeaders(call, s)
	var response *http.Response
	if response, err = c.http.Do(call); err != nil {
		c.exclude(base)
		return errors.Annotatef(errInterrupted, "%v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return problemFrom(response)
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	timeout.Reset(c.options.IdleTimeout)
	ended := false
	for scanner.Scan() {
		timeout.Reset(c.options.IdleTimeout)
		if ended, err = s.processLine(scanner.Bytes()); ended || err != nil {
			return err
		}
	}
	c.exclude(base)
	return errors.Annotatef(errInterrupted, "%v", scanner.Err())
}

func (c *Client) setHeaders(call *http.Request, s *stream) {
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

// processLine applies one line of a stream and reports whether the answer ended.
func (s *stream) processLine(line []byte) (ended bool, err error) {
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
		return false, errors.Annotatef(errInterrupted, "event is not JSON: %v", err)
	}
	if decoded.Error != nil {
		return false, &ProblemError{Document: *decoded.Error}
	}
	s.apply(decoded)
	return false, nil
}

func (s *stream) apply(decoded chunk) {
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
	s.recordGap(time.Now())
	s.text.WriteString(choice.Text)
	if s.onText != nil {
		s.onText(choice.Text)
	}
}

// recordGap records the time between the previous text and one received now.
func (s *stream) recordGap(now time.Time) {
	switch {
	case s.lastTextAt.IsZero():
		s.answer.FirstToken = now.Sub(s.start)
	case s.interrupted:
		s.answer.ResumeGaps = append(s.answer.ResumeGaps, now.Sub(s.lastTextAt))
	default:
		s.answer.TokenGaps = append(s.answer.TokenGaps, now.Sub(s.lastTextAt))
	}
	s.interrupted = false
	s.lastTextAt = now
}

func problemFrom(response *http.Response) error {
	problemError := &ProblemError{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxEventBytes)).Decode(&problemError.Document); err != nil || problemError.Document.Code == "" {
		return errors.Annotatef(errInterrupted, "answered %s", response.Status)
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		problemError.RetryAt = time.Now().Add(time.Duration(seconds) * time.Second)
	}
	return problemError
}

// nextVM returns the base URL of the VM to use next, in rotation. It fetches the
// list of VMs again when the last one has expired.
func (c *Client) nextVM(ctx context.Context) (string, error) {
	c.mu.Lock()
	expired := len(c.baseURLs) == 0 || time.Now().After(c.keepUntil)
	c.mu.Unlock()
	if expired {
		c.locate(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.baseURLs) == 0 {
		return "", errors.Annotate(errInterrupted, "no VM answers")
	}
	c.requests++
	return c.baseURLs[c.requests%len(c.baseURLs)], nil
}

// locate asks one VM after another for the list of VMs to use.
func (c *Client) locate(ctx context.Context) {
	c.mu.Lock()
	candidates := append(append([]string{}, c.baseURLs...), c.options.Entries...)
	c.mu.Unlock()
	for _, base := range candidates {
		requestCtx, cancel := context.WithTimeout(ctx, c.options.IdleTimeout)
		answer, err := locate.Fetch(requestCtx, c.http, base)
		cancel()
		if err != nil || len(answer.Entries) == 0 {
			continue
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.keepUntil = answer.KeepUntil
		c.baseURLs = c.baseURLs[:0]
		for _, entry := range answer.Entries {
			c.baseURLs = append(c.baseURLs, "http://"+entry.Address)
		}
		return
	}
}

// exclude removes a VM from the list until the next one is fetched.
func (c *Client) exclude(base string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := []string{}
	for _, known := range c.baseURLs {
		if known != base {
			kept = append(kept, known)
		}
	}
	c.baseURLs = kept
}

// Call makes one call of a plain service, without retries.
func (c *Client) Call(ctx context.Context, method, path, key string, content []byte) (status int, reply []byte, err error) {
	var base string
	if base, err = c.nextVM(ctx); err != nil {
		return 0, nil, errors.Trace(err)
	}
	if status, reply, err = c.CallVM(ctx, base, method, path, key, content); err != nil {
		c.exclude(base)
	}
	return status, reply, err
}

// CallVM makes one call of a plain service through the VM with the base URL.
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
