package wire

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
)

// Path is the URL path at which a VM accepts connections of its peers.
const Path = "/peer"

// MaxFrameBytes bounds one frame.
const MaxFrameBytes = 32 << 20

// writeTimeout bounds how long a peer may take to accept a frame.
const writeTimeout = 5 * time.Second

// Server serves the connections of peers. Each function field handles one part of
// a frame on the connection's goroutine, so it must not block.
type Server struct {
	Key         []byte
	OnEntries   func(peer string, entries []Entry) []Ack
	OnHandover  func(peer string, request Handover) HandoverReply
	OnHeartbeat func(heartbeat Heartbeat) Heartbeat
	OnContent   func(request ContentRequest) Content
	OnSync      func(body []byte) []byte
}

// ServeHTTP accepts one peer connection and serves it until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	peer, ok := verifyHeader(r.Header, s.Key, time.Now())
	if !ok {
		http.Error(w, "peer proof is not valid", http.StatusUnauthorized)
		return
	}
	connection, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return // Accept has already sent the error.
	}
	defer connection.CloseNow()
	connection.SetReadLimit(MaxFrameBytes)
	s.serve(r.Context(), peer, connection)
}

func (s *Server) serve(ctx context.Context, peer string, connection *websocket.Conn) {
	for {
		_, body, err := connection.Read(ctx)
		if err != nil {
			return
		}
		request, err := Decode(body)
		if err != nil {
			return // A peer that sends an invalid frame has to reconnect.
		}
		reply, wanted := s.handle(peer, request)
		if !wanted {
			continue
		}
		if err := write(ctx, connection, reply); err != nil {
			return
		}
	}
}

// handle returns the reply to a frame, and whether to send it.
func (s *Server) handle(peer string, request Frame) (reply Frame, wanted bool) {
	reply.Reply = request.Call
	if len(request.Entries) > 0 {
		reply.Acks = s.OnEntries(peer, request.Entries)
	}
	if request.Handover != nil {
		handedOver := s.OnHandover(peer, *request.Handover)
		reply.HandoverReply = &handedOver
	}
	if request.Heartbeat != nil {
		heartbeat := s.OnHeartbeat(*request.Heartbeat)
		reply.Heartbeat = &heartbeat
	}
	if request.ContentRequest != nil {
		content := s.OnContent(*request.ContentRequest)
		reply.Content = &content
	}
	if len(request.Sync) > 0 {
		reply.Sync = s.OnSync(request.Sync)
	}
	return reply, request.Call != 0 || len(reply.Acks) > 0
}

func write(ctx context.Context, connection *websocket.Conn, frame Frame) (err error) {
	var body []byte
	if body, err = Encode(frame); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return connection.Write(ctx, websocket.MessageBinary, body)
}
