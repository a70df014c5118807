package openai

import (
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
	running *owner.Running
	account string
	chat    bool
	changed chan struct{}
	offset  int
	hash    generation.RollingHash
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type chatChoice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
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
	started := false
	for {
		tokens, end, alive := d.next(ctx)
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
		if !d.write(w, tokens, end, alive) {
			return
		}
		if err := controller.Flush(); err != nil || end.Ended() {
			return
		}
	}
}

// next waits for tokens or the end. alive is false when there was nothing for a
// while and a comment is due.
func (d *delivery) next(ctx context.Context) (tokens []generation.Token, end owner.End, alive bool) {
	waitCtx, cancel := context.WithTimeout(ctx, keepAliveEvery)
	defer cancel()
	tokens, end = d.running.Next(waitCtx, d.offset, d.changed)
	return tokens, end, len(tokens) > 0 || end.Ended()
}

// write sends what there is and reports whether the caller took it.
func (d *delivery) write(w http.ResponseWriter, tokens []generation.Token, end owner.End, alive bool) bool {
	var out strings.Builder
	if !alive {
		out.WriteString(": waiting\n\n")
	}
	if len(tokens) > 0 {
		d.event(&out, d.chunk(d.advance(tokens), nil))
	}
	switch {
	case end.Finish != "":
		d.event(&out, d.chunk("", &end.Finish))
		out.WriteString("data: [DONE]\n\n")
	case end.Ended():
		body, err := json.Marshal(errorEvent{Error: endProblem(end).Document()})
		if err != nil {
			return false
		}
		out.WriteString("event: error\ndata: ")
		out.Write(body)
		out.WriteString("\n\n")
	}
	_, err := w.Write([]byte(out.String()))
	return err == nil
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

// event writes one event with the cursor behind it.
func (d *delivery) event(out *strings.Builder, chunk reply) {
	body, err := json.Marshal(chunk)
	if err != nil {
		return // No field of reply can fail to encode.
	}
	place := d.running.Place()
	place.Offset = d.offset
	place.Hash = d.hash.Sum()
	out.WriteString("id: ")
	out.WriteString(d.handler.Sealer.Seal(d.account, place))
	out.WriteString("\ndata: ")
	out.Write(body)
	out.WriteString("\n\n")
}

func (d *delivery) chunk(text string, finish *string) reply {
	if d.chat {
		return d.reply("chat.completion.chunk", []chatChoice{{Delta: &delta{Content: text}, FinishReason: finish}})
	}
	return d.reply("text_completion", []choice{{Text: text, FinishReason: finish}})
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
		tokens, end := d.running.Next(ctx, d.offset, d.changed)
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
		answer = d.reply("chat.completion", []chatChoice{{Message: &delta{Role: "assistant", Content: text}, FinishReason: &finish}})
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
