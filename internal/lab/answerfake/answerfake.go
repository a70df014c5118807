// Package answerfake has HTTP handlers that give every request the same answer, including
// malformed answers that no correct server gives.
//
// # Usage
//
//	server := httptest.NewServer(answerfake.Endless("[1", ",1", &sent))
package answerfake

import (
	"net/http"
	"sync/atomic"
)

// Endless answers with a first text and then repeats another until the connection is closed.
// The bytes written are added to sent.
func Endless(first, repeated string, sent *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for text := first; ; text = repeated {
			n, err := w.Write([]byte(text))
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	}
}

// Constant answers every request with the same text.
func Constant(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(text)) // The client may have disconnected.
	}
}
