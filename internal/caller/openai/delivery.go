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
	// keepAliveEvery is the time between comments on a stream without tokens, by
	// which a caller tells a silent connection from a slow answer.
	keepAliveEvery = 500 * time.Millisecond
	// writeLimit bounds how long a caller may leave its connection full. A slow
	// reader keeps its generation and comes back with its cursor.
	writeLimit = 15 * time.Second
)

// delivery writes one generation to one caller.
type delivery struct {
	handler *Handler
	running *owner.Generation
	sealer  *generation.AccountSealer
	chat    bool
	changed chan struct{}
	offset  int
	hash    generation.RollingHash
	head    []byte // The beginning of every chunk, up to its text.
	out     []byte // Reused for each write.
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

// reply is a completion or one chunk of it. Choices is a list of choice or of
// chatChoice.
type reply struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices any    `json:"choices"`
	Usage   *usage `json:"usage,omitempty"`
}

// stream sends the answer as server-sent events. The response header is sent
// with the first event, so that a request that fails before gets its status.
func (d *delivery) stream(ctx context.Context, w http.ResponseWriter) {
	controller := http.NewResponseController(w)
	idle := time.NewTicker(keepAliveEvery)
	defer idle.Stop()
	d.head = d.chunkHead()
	started := false
	for {
		tokens, end := d.running.Next(ctx, d.offset, d.changed, idle.C)
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
		_ = controller.SetWriteDeadline(d.handler.Now().Add(writeLimit)) // Not every writer has one.
		if _, err := w.Write(d.events(tokens, end)); err != nil {
			return
		}
		if err := controller.Flush(); err != nil || end.Ended() {
			return
		}
	}
}

// events gives what to send for some tokens and the end, or a comment when there
// was neither for a while. The bytes are valid until the next call.
func (d *delivery) events(tokens []generation.Token, end owner.End) []byte {
	d.out = d.out[:0]
	if len(tokens) == 0 && !end.Ended() {
		return append(d.out, ": waiting\n\n"...)
	}
	if len(tokens) > 0 {
		d.event(d.advance(tokens), "")
	}
	switch {
	case end.Finish != "":
		d.event("", end.Finish)
		d.out = append(d.out, "data: [DONE]\n\n"...)
	case end.Ended():
		d.out = append(d.out, "event: error\ndata: "...)
		d.out = append(d.out, jsonOf(errorEvent{Error: endProblem(end).Document()})...)
		d.out = append(d.out, "\n\n"...)
	}
	return d.out
}

// jsonOf encodes a value of this package's types, none of which can fail.
func jsonOf(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return body
}

// errorEvent is the last event of a stream that fails after it began.
type errorEvent struct {
	Error problem.Document `json:"error"`
}

// advance moves behind some tokens and gives their text.
func (d *delivery) advance(tokens []generation.Token) string {
	var text strings.Builder
	for _, token := range tokens {
		d.hash = d.hash.Add(token)
		text.WriteString(token.Text)
	}
	d.offset += len(tokens)
	return text.String()
}

// event appends one event, with the cursor behind it. It is built by hand, since
// it is the one thing done for every token:
//
//	id: <cursor>
//	data: {"id":...,"choices":[{"index":0,"text":" a","finish_reason":null}]}
func (d *delivery) event(text, finish string) {
	place := d.running.CursorTemplate()
	place.Offset = d.offset
	place.Hash = d.hash.Sum()
	d.out = append(d.out, "id: "...)
	d.out = append(d.out, d.sealer.Seal(place)...)
	d.out = append(d.out, "\ndata: "...)
	d.out = append(d.out, d.head...)
	d.out = append(d.out, jsonOf(text)...)
	if d.chat {
		d.out = append(d.out, '}')
	}
	d.out = append(d.out, `,"finish_reason":`...)
	if finish == "" {
		d.out = append(d.out, "null"...)
	} else {
		d.out = append(d.out, jsonOf(finish)...)
	}
	d.out = append(d.out, "}]}\n\n"...)
}

// chunkHead gives the part of a chunk before its text, which never changes.
func (d *delivery) chunkHead() []byte {
	object, choice := "text_completion", `{"index":0,"text":`
	if d.chat {
		object, choice = "chat.completion.chunk", `{"index":0,"delta":{"content":`
	}
	empty := jsonOf(d.reply(object, []string{}))
	head := bytes.TrimSuffix(empty, []byte("]}"))
	return append(head, choice...)
}

func (d *delivery) reply(object string, choices any) reply {
	return reply{
		ID:      "cmpl-" + d.running.ID(),
		Object:  object,
		Created: d.running.AcceptedAt().Unix(),
		Model:   d.running.Spec().Model,
		Choices: choices,
	}
}

// whole sends the answer when it is complete.
func (d *delivery) whole(ctx context.Context, w http.ResponseWriter) {
	var text strings.Builder
	for {
		tokens, end := d.running.Next(ctx, d.offset, d.changed, nil)
		if ctx.Err() != nil {
			return
		}
		text.WriteString(d.advance(tokens))
		if end.Finish != "" {
			d.writeWhole(w, text.String(), end.Finish)
			return
		}
		if end.Ended() {
			problem.Write(w, endProblem(end))
			return
		}
	}
}

func (d *delivery) writeWhole(w http.ResponseWriter, text, finish string) {
	answer := d.reply("text_completion", []choice{{Text: text, FinishReason: &finish}})
	if d.chat {
		answer = d.reply("chat.completion", []chatChoice{{Message: message{Role: "assistant", Content: text}, FinishReason: &finish}})
	}
	prompt := d.running.PromptTokens()
	answer.Usage = &usage{PromptTokens: prompt, CompletionTokens: d.offset, TotalTokens: prompt + d.offset}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // The caller may have gone; it can ask again.
}

// endProblem turns an end without a complete answer into a problem.
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
