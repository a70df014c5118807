package service_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/service"
)

// callWithUpload makes a call with a long body to a server that answers as soon as it has the head, and
// resets the connection.
func callWithUpload(t *testing.T, answer string) (reply service.Reply, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return // A check whether the server is up.
				}
				fmt.Fprint(c, answer)
				time.Sleep(50 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	client := service.New(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	return client.Call(context.Background(), listener.Addr().String(), service.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, 16<<20)})
}

// TestAnswerThatIsResetDuringTheUploadIsUnknown guards against a part of an answer that is taken for all of it.
func TestAnswerThatIsResetDuringTheUploadIsUnknown(t *testing.T) {
	for range 5 {
		reply, err := callWithUpload(t, "HTTP/1.1 200 OK\r\n\r\npart")
		qt.Check(t, errors.Is(err, service.ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("status %d, %q, error %v", reply.Status, reply.Body, err))
	}
}
