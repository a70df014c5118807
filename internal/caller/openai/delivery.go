package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/request/generation"
	"github.com/endivespoke/endivespoke/internal/request/owner"
)

const (
	// keepAliveInterval is the time between comments on a stream without tokens. They
	// let a caller distinguish a failed connection from a slow answer.
	keepAliveInterval = 500 * time.Millisecond
	// writeTimeout bounds a write to a caller that reads too slowly. The generation
	// continues, and the caller can resume it with its cursor.
	writeTimeout = 15 * time.Second
)

// delivery writes a generation to one caller. offset and hash are those of the
// tokens that have been delivered.
type delivery struct {
	handler     *Handler
	generation  *owner.Generation
	sealer      *generation.AccountSealer
	chat        bool
	changed     chan struct{}
	offset      int
	hash        generation.RollingHash
	chunkPrefix []byte // The start of every chunk, up to its text.
	buffer      []byte // Reused for each write.
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type chatChoice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completion is a complete answer or one chunk of it. Choices is a list of choice or
// of chatChoice.
type completion struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices any    `json:"choices"`
	Usage   *usage `json:"usage,omitempty"`
}

// stream sends the answer as server-sent events. The response header is sent with
// the first event, so that a request that fails before it is answered with the
// status of its problem.
func (d *delivery) stream(ctx context.Context, w http.ResponseWriter) {
	controller := http.NewResponseController(w)
	idle := time.NewTicker(keepAliveInterval)
	defer idle.Stop()
	d.chunkPrefix = d.newChunkPrefix()
	started := false
	for {
		tokens, end := d.generation.Next(ctx, d.offset, d.changed, idle.C)
		if ctx.Err() != nil {
			return
		}
		if !started && end.Ended() && len(tokens) == 0 && end.Finish == "" {
			problem.Write(w, endProblem(end))
			return
		}
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-store")
			w.WriteHeader(http.StatusOK)
		}
		_ = controller.SetWriteDeadline(d.handler.Now().Add(writeTimeout)) // Not every ResponseWriter supports deadlines.
		if _, err := w.Write(d.events(tokens, end)); err != nil {
			return
		}
		if err := controller.Flush(); err != nil || end.Ended() {
			return
		}
	}
}

// events encodes tokens and the end of the generation, or a keep-alive comment if
// there is neither. The result is valid until the next call.
func (d *delivery) events(tokens []generation.Token, end owner.End) []byte {
	d.buffer = d.buffer[:0]
	if len(tokens) == 0 && !end.Ended() {
		return append(d.buffer, ": waiting\n\n"...)
	}
	if len(tokens) > 0 {
		d.event(d.advance(tokens), "")
	}
	switch {
	case end.Finish != "":
		d.event("", end.Finish)
		d.buffer = append(d.buffer, "data: [DONE]\n\n"...)
	case end.Ended():
		d.buffer = append(d.buffer, "event: error\ndata: "...)
		d.buffer = append(d.buffer, encodeJSON(errorEvent{Error: endProblem(end).Document()})...)
		d.buffer = append(d.buffer, "\n\n"...)
	}
	return d.buffer
}

// encodeJSON encodes a value whose type can't fail to encode, as all types of this
// package.
func encodeJSON(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return body
}

// errorEvent is the last event of a stream that fails after its first event.
type errorEvent struct {
	Error problem.Document `json:"error"`
}

// advance adds tokens to the offset and hash and returns their text.
func (d *delivery) advance(tokens []generation.Token) string {
	var text strings.Builder
	for _, token := range tokens {
		d.hash = d.hash.Add(token)
		text.WriteString(token.Text)
	}
	d.offset += len(tokens)
	return text.String()
}

// event appends one event, with the cursor of the position after it, to the buffer.
// It doesn't use encoding/json for the whole event, because it runs for every token:
//
//	id: <cursor>
//	data: {"id":...,"choices":[{"index":0,"text":" a","finish_reason":null}]}
func (d *delivery) event(text, finish string) {
	cursor := d.generation.CursorTemplate()
	cursor.Offset = d.offset
	cursor.Hash = d.hash.Sum()
	d.buffer = append(d.buffer, "id: "...)
	d.buffer = append(d.buffer, d.sealer.Seal(cursor)...)
	d.buffer = append(d.buffer, "\ndata: "...)
	d.buffer = append(d.buffer, d.chunkPrefix...)
	d.buffer = append(d.buffer, encodeJSON(text)...)
	if d.chat {
		d.buffer = append(d.buffer, '}')
	}
	d.buffer = append(d.buffer, `,"finish_reason":`...)
	if finish == "" {
		d.buffer = append(d.buffer, "null"...)
	} else {
		d.buffer = append(d.buffer, encodeJSON(finish)...)
	}
	d.buffer = append(d.buffer, "}]}\n\n"...)
}

// newChunkPrefix returns the part of a chunk before its text, which is the same for
// all chunks.
func (d *delivery) newChunkPrefix() []byte {
	object, choice := "text_completion", `{"index":0,"text":`
	if d.chat {
		object, choice = "chat.completion.chunk", `{"index":0,"delta":{"content":`
	}
	empty := encodeJSON(d.completion(object, []string{}))
	prefix := bytes.TrimSuffix(empty, []byte("]}"))
	return append(prefix, choice...)
}

func (d *delivery) completion(object string, choices any) completion {
	return completion{
		ID:      "cmpl-" + d.generation.ID(),
		Object:  object,
		Created: d.generation.AcceptedAt().Unix(),
		Model:   d.generation.Spec().Model,
		Choices: choices,
	}
}

// collect waits for the complete answer and sends it.
func (d *delivery) collect(ctx context.Context, w http.ResponseWriter) {
	var text strings.Builder
	for {
		tokens, end := d.generation.Next(ctx, d.offset, d.changed, nil)
		if ctx.Err() != nil {
			return
		}
		text.WriteString(d.advance(tokens))
		if end.Finish != "" {
			d.writeCompletion(w, text.String(), end.Finish)
			return
		}
		if end.Ended() {
			problem.Write(w, endProblem(end))
			return
		}
	}
}

func (d *delivery) writeCompletion(w http.ResponseWriter, text, finish string) {
	answer := d.completion("text_completion", []choice{{Text: text, FinishReason: &finish}})
	if d.chat {
		answer = d.completion("chat.completion", []chatChoice{{Message: message{Role: "assistant", Content: text}, FinishReason: &finish}})
	}
	prompt := d.generation.PromptTokens()
	answer.Usage = &usage{PromptTokens: prompt, CompletionTokens: d.offset, TotalTokens: prompt + d.offset}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // A write fails only if the caller has disconnected; it can send the request again.
}

// endProblem returns the problem of a generation that ended without a complete
// answer.
func endProblem(end owner.End) *problem.Problem {
	if end.Moved || end.Failure == nil {
		return &problem.Problem{Code: problem.Moved, Outcome: problem.StateNotKnown, Detail: "another VM delivers this answer now; ask again with the same key and Last-Event-ID"}
	}
	return &problem.Problem{
		Code:    problem.Code(end.Failure.Code),
		Outcome: problem.Outcome(end.Failure.Outcome),
		Detail:  end.Failure.Detail,
		RetryAt: end.Failure.RetryAt,
	}
}
