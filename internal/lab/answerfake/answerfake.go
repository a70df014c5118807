// Package answerfake has HTTP handlers that answer everything in the same way, also in ways
// in which no sound server does.
//
// # Usage
//
//	server := httptest.NewServer(answerfake.Endless("[1", ",1", &sent))
package answerfake

import (
	"net/http"
	"sync/atomic"
)

// Endless answers with some text and then with more of it until the connection is closed. Sent
// counts the bytes.
func Endless(first, again string, sent *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for text := first; ; text = again {
			n, err := w.Write([]byte(text))
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	}
}

// Constant answers everything with the same text.
func Constant(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(text)) // The asker may have gone.
	}
}
