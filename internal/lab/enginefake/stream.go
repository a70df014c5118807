package enginefake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
)

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("starting_after"))
	if err != nil || after < 0 {
		http.Error(w, "starting_after is not a token count", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	g := e.generations[r.PathValue("id")]
	e.stats.Resumes++
	e.mu.Unlock()
	if g == nil {
		http.NotFound(w, r)
		return
	}
	e.stream(w, r, g, after)
}

// stream sends the tokens from an offset to the end, and then the finish event.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, offset int) {
	e.mu.Lock()
	e.streams++
	number := e.streams
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Prompt-Tokens", strconv.Itoa(len(g.prompt)))
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	flusher.Flush()
	chat := len(g.body.Messages) > 0
	first := true
	for {
		e.mu.Lock()
		tokens := g.tokens[min(offset, len(g.tokens)):]
		finish, changed, dead, cancelled := g.finish, g.changed, e.dead, g.cancelled
		stalled := number < g.stalledBefore
		e.mu.Unlock()
		if dead || cancelled {
			panic(http.ErrAbortHandler)
		}
		if stalled {
			<-r.Context().Done()
			return
		}
		for _, id := range tokens {
			chunk := newTokenChunk(chat, id)
			if first {
				chunk.PromptTokenIDs = g.prompt
				first = false
			}
			if !writeEvent(w, chunk) {
				return
			}
			offset++
		}
		if finish != "" {
			writeEvent(w, newFinishChunk(chat, finish))
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			flusher.Flush()
			return
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		e.waitWhilePaused()
	}
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[r.PathValue("id")]
	if g == nil {
		http.NotFound(w, r)
		return
	}
	if g.finish == "" && !g.cancelled {
		g.cancelled = true
		e.stats.Cancelled++
		e.dropWaiting(g)
		g.wake()
	}
	w.WriteHeader(http.StatusOK)
}

// dropWaiting removes a cancelled generation from the queue. Callers hold mu.
func (e *Engine) dropWaiting(g *generation) {
	index := slices.Index(e.waiting, g)
	if index < 0 {
		return
	}
	e.waiting = slices.Delete(e.waiting, index, index+1)
	e.running++ // generate frees this slot at once.
	close(g.admitted)
}

type delta struct {
	Content string `json:"content"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	TokenIDs     []int   `json:"token_ids,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type chunk struct {
	Object         string   `json:"object"`
	Choices        []choice `json:"choices"`
	PromptTokenIDs []int    `json:"prompt_token_ids,omitempty"`
}

func newTokenChunk(chat bool, id int) chunk {
	if chat {
		return chunk{Object: "chat.completion.chunk", Choices: []choice{{Delta: &delta{Content: Text(id)}, TokenIDs: []int{id}}}}
	}
	return chunk{Object: "text_completion", Choices: []choice{{Text: Text(id), TokenIDs: []int{id}}}}
}

func newFinishChunk(chat bool, reason string) chunk {
	if chat {
		return chunk{Object: "chat.completion.chunk", Choices: []choice{{Delta: &delta{}, FinishReason: &reason}}}
	}
	return chunk{Object: "text_completion", Choices: []choice{{FinishReason: &reason}}}
}

func writeEvent(w http.ResponseWriter, event chunk) bool {
	body, err := json.Marshal(event)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", body)
	return err == nil
}
