// Package engine is a client of model engines with the OpenAI-compatible streaming API
// and its published extensions. No other package depends on the engines' wire format.
//
// # Usage
//
//	client := engine.New(httpClient)
//	stream, err := client.Start(ctx, address, engine.Request{ID: "g1.1", Model: "m", Prompt: "...", MaxTokens: 100}, 0)
//	for {
//		event, err := stream.Next() // io.EOF never comes before an event with Finish set
//	}
//	stream, err = client.Resume(ctx, address, "g1.1", 40, 40) // the same generation from token 40
//
// Extensions used: prompts as token ids, token ids on each chunk (return_token_ids),
// priority, and background generations that outlive a connection, with resuming
// (starting_after) and cancelling by id in the form that the OpenAI Responses API
// publishes.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/node/caller"
	"github.com/endivespoke/endivespoke/internal/node/trace"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

const (
	// ErrGone means that the engine is up but no longer has the generation.
	ErrGone = errors.ConstError("engine does not know the generation")
	// ErrUnreachable means that no connection to the engine could be opened.
	ErrUnreachable = errors.ConstError("engine can't be reached")
	// ErrRefused means that nothing listens at the engine's address.
	ErrRefused = errors.ConstError("engine refuses connections")
	// ErrBusy means that the engine accepts no new work now.
	ErrBusy = errors.ConstError("engine takes no new work")
	// ErrRejected means that the engine rejected the request as invalid.
	ErrRejected = errors.ConstError("engine rejected the request")
	// ErrBroken means that an open stream ended before its end mark.
	ErrBroken = errors.ConstError("engine stream broke")
)

// maxEventBytes bounds one line of an event stream.
const maxEventBytes = 4 << 20

// maxReportBytes bounds an engine's report of its load or models.
const maxReportBytes = 1 << 20

// readBufferBytes is the size of the read buffer of a stream.
const readBufferBytes = 4 << 10

// Request starts one generation. One of Prompt, Messages and TokenIDs is used: TokenIDs
// if set, then Messages. A lower Priority is served first.
type Request struct {
	ID        string
	Model     string
	Prompt    string
	Messages  []generation.Message
	TokenIDs  []int
	Seed      int64
	MaxTokens int
	Priority  int
	Sampling  generation.Sampling
}

// Event is one step of a stream. Offset is the index of the first of Tokens within the
// generation. PromptTokenIDs come with the first event of a stream. A non-empty Finish
// ends the stream.
type Event struct {
	Offset         int
	Tokens         []generation.Token
	PromptTokenIDs []int
	Finish         string
}

// Client calls engines. Memory, if set, limits the long events that all streams are reading.
type Client struct {
	HTTP   *http.Client
	Memory *caller.Bodies
}

// New returns a client. The HTTP client must have no overall timeout, since streams last
// minutes.
func New(httpClient *http.Client) *Client {
	client := *httpClient
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse } // The request may have run.
	return &Client{HTTP: &client}
}

type requestBody struct {
	Model          string               `json:"model"`
	Prompt         any                  `json:"prompt,omitempty"`
	Messages       []generation.Message `json:"messages,omitempty"`
	Seed           int64                `json:"seed"`
	MaxTokens      int                  `json:"max_tokens"`
	Priority       int                  `json:"priority"`
	Temperature    *float64             `json:"temperature,omitempty"`
	TopP           *float64             `json:"top_p,omitempty"`
	Stop           []string             `json:"stop,omitempty"`
	Stream         bool                 `json:"stream"`
	Background     bool                 `json:"background"`
	ReturnTokenIDs bool                 `json:"return_token_ids"`
}

func encodeRequest(request Request) (body requestBody, path string) {
	body = requestBody{
		Model:          request.Model,
		Seed:           request.Seed,
		MaxTokens:      request.MaxTokens,
		Priority:       request.Priority,
		Temperature:    request.Sampling.Temperature,
		TopP:           request.Sampling.TopP,
		Stop:           request.Sampling.Stop,
		Stream:         true,
		Background:     true,
		ReturnTokenIDs: true,
	}
	switch {
	case len(request.TokenIDs) > 0:
		body.Prompt = request.TokenIDs
	case len(request.Messages) > 0:
		body.Messages = request.Messages
		return body, "/v1/chat/completions"
	default:
		body.Prompt = request.Prompt
	}
	return body, "/v1/completions"
}

// Start starts a generation at an engine and opens its stream, whose first token has the
// given offset in the whole answer. It returns as soon as the engine has accepted the
// request.
func (c *Client) Start(ctx context.Context, address string, request Request, offset int) (stream *Stream, err error) {
	body, path := encodeRequest(request)
	var encoded []byte
	if encoded, err = json.Marshal(body); err != nil {
		return nil, errors.Trace(err)
	}
	var call *http.Request
	if call, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded)); err != nil {
		return nil, errors.Trace(err)
	}
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set("X-Request-Id", request.ID)
	if stream, err = c.open(call, offset); errors.Is(err, ErrGone) {
		// An engine that answers a new request with "not found" does not have the model.
		return nil, errors.Annotate(ErrBusy, "engine does not have the model")
	}
	return stream, err
}

// Resume opens a new stream of a running or finished generation at an engine, starting
// after the given number of its own tokens. The next token has the given offset in the
// whole answer.
func (c *Client) Resume(ctx context.Context, address, id string, after, offset int) (stream *Stream, err error) {
	target := "http://" + address + "/v1/completions/" + url.PathEscape(id) + "?stream=true&starting_after=" + strconv.Itoa(after)
	var call *http.Request
	if call, err = http.NewRequestWithContext(ctx, http.MethodGet, target, nil); err != nil {
		return nil, errors.Trace(err)
	}
	return c.open(call, offset)
}

// Cancel frees the resources that the engine holds for a generation.
func (c *Client) Cancel(ctx context.Context, address, id string) (err error) {
	var call *http.Request
	if call, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions/"+url.PathEscape(id)+"/cancel", nil); err != nil {
		return errors.Trace(err)
	}
	var response *http.Response
	if response, err = c.HTTP.Do(call); err != nil {
		return errors.Annotatef(ErrUnreachable, "cancelling %s: %v", id, err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return errors.Annotatef(ErrGone, "cancelling %s", id)
	}
	return nil
}

func (c *Client) open(call *http.Request, offset int) (stream *Stream, err error) {
	trace.Outgoing(call)
	ctx, cancel := context.WithCancel(call.Context())
	var response *http.Response
	if response, err = c.HTTP.Do(call.WithContext(ctx)); err != nil {
		cancel()
		return nil, classify(err)
	}
	if response.StatusCode == http.StatusOK {
		reader := bufio.NewReaderSize(response.Body, readBufferBytes)
		return &Stream{offset: offset, reader: reader, body: response.Body, cancel: cancel, memory: c.Memory}, nil
	}
	defer cancel()
	defer response.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(response.Body, 512)) // Only for the error's text.
	switch {
	case response.StatusCode == http.StatusNotFound:
		return nil, errors.Trace(ErrGone)
	case response.StatusCode == http.StatusTooManyRequests || response.StatusCode >= 500:
		return nil, errors.Annotatef(ErrBusy, "%s: %s", response.Status, detail)
	}
	return nil, errors.Annotatef(ErrRejected, "%s: %s", response.Status, detail)
}

func classify(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Annotatef(ErrRefused, "%v", err)
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Annotatef(ErrUnreachable, "%v", err)
	}
	return errors.Annotatef(ErrBroken, "%v", err)
}

// Stream is one open event stream. Its methods are for one goroutine, except Close, which
// may be called from any.
type Stream struct {
	offset int
	reader *bufio.Reader
	body   io.Closer
	cancel context.CancelFunc
	memory *caller.Bodies

	onClose func()
}

// OnClose sets a function that is called on each Close. It must be set before the stream
// is shared.
func (s *Stream) OnClose(onClose func()) {
	s.onClose = onClose
}

// Close closes the connection. The engine's generation continues until it is cancelled.
func (s *Stream) Close() {
	s.cancel()
	if s.onClose != nil {
		s.onClose()
	}
	_ = s.body.Close() // The stream is abandoned, so an error has no consequence.
}

type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		TokenIDs     []int  `json:"token_ids"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	PromptTokenIDs []int `json:"prompt_token_ids"`
}

// Next waits for the next event. After any error the stream is unusable; ErrBroken is the
// usual one.
func (s *Stream) Next() (event Event, err error) {
	for {
		var line []byte
		if line, err = s.readLine(); err != nil {
			return Event{}, errors.Annotatef(ErrBroken, "%v", err)
		}
		data, isData := bytes.CutPrefix(line, []byte("data: "))
		if !isData || bytes.Equal(data, []byte("[DONE]")) {
			continue
		}
		var decoded chunk
		if err = json.Unmarshal(data, &decoded); err != nil {
			return Event{}, errors.Annotatef(ErrBroken, "event is not JSON: %v", err)
		}
		if event = s.decodeChunk(decoded); len(event.Tokens) > 0 || event.Finish != "" {
			return event, nil
		}
	}
}

// readLine returns one line without its end. The bytes are valid until the next call.
func (s *Stream) readLine() (line []byte, err error) {
	if line, err = s.reader.ReadSlice('\n'); err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if err != bufio.ErrBufferFull {
		return nil, err
	}
	long, taken := bytes.Clone(line), int64(0)
	defer func() { s.returnMemory(taken) }()
	for err == bufio.ErrBufferFull && len(long) < maxEventBytes {
		line, err = s.reader.ReadSlice('\n')
		if len(long)+len(line) > cap(long) {
			size := int64(2 * (len(long) + len(line)))
			if s.memory != nil && s.memory.Take(size) != nil {
				return nil, errors.Trace(caller.ErrNoMemory)
			}
			s.returnMemory(taken)
			taken = size
			long = append(make([]byte, 0, size), long...)
		}
		long = append(long, line...)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(long, "\r\n"), nil
}

func (s *Stream) returnMemory(size int64) {
	if s.memory != nil {
		s.memory.Return(size)
	}
}

// decodeChunk converts a chunk to an event. An engine may put several tokens into one
// chunk with one text; the text then belongs to the last of them.
//
//	{"text":" a b","token_ids":[7,8]}  ->  {7 ""} {8 " a b"}
func (s *Stream) decodeChunk(decoded chunk) Event {
	event := Event{Offset: s.offset, PromptTokenIDs: decoded.PromptTokenIDs}
	if len(decoded.Choices) == 0 {
		return event
	}
	choice := decoded.Choices[0]
	event.Finish = choice.FinishReason
	for _, id := range choice.TokenIDs {
		event.Tokens = append(event.Tokens, generation.Token{ID: id})
	}
	if last := len(event.Tokens) - 1; last >= 0 {
		event.Tokens[last].Text = choice.Text + choice.Delta.Content
	}
	s.offset += len(event.Tokens)
	return event
}

// Load is an engine's report of its own load, which always lags a little.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Load requests the load report of an engine.
func (c *Client) Load(ctx context.Context, address string) (load Load, err error) {
	var call *http.Request
	if call, err = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil); err != nil {
		return Load{}, errors.Trace(err)
	}
	var response *http.Response
	if response, err = c.HTTP.Do(call); err != nil {
		return Load{}, errors.Annotatef(ErrUnreachable, "%v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Load{}, errors.Annotatef(ErrBusy, "%s", response.Status)
	}
	if err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&load); err != nil {
		return Load{}, errors.Annotate(err, "load report is not JSON")
	}
	return load, nil
}
