package wire

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"
)

// ErrNoReply means that a peer could not be reached or did not reply in time.
const ErrNoReply = errors.ConstError("no reply from peer")

const (
	// DefaultAckTimeout is how long a holder may leave a batch unacknowledged.
	DefaultAckTimeout = 300 * time.Millisecond
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 300 * time.Millisecond
	// batchInterval is the shortest time between two batches of entries to one peer.
	// With many concurrent generations, each frame, its acks and the wake-ups
	// around them then carry several tokens.
	batchInterval = time.Millisecond
	// redialBackoff keeps an unreachable peer from being dialled for every entry.
	redialBackoff = 250 * time.Millisecond
)

// PoolOptions configures a Pool. OnAcks receives the acks of each frame from a
// peer. OnDown is called when a connection to a peer has ended or could not be
// opened; every entry enqueued for that peer since its last ack may be lost.
type PoolOptions struct {
	Self       string
	Key        []byte
	AckTimeout time.Duration
	HTTP       *http.Client
	OnAcks     func(peer string, acks []Ack)
	OnDown     func(peer string)
	// Go starts the goroutines of the pool; nil for plain ones.
	Go func(do func())
}

// Pool holds at most one outgoing connection to each peer.
type Pool struct {
	options PoolOptions

	mu        sync.Mutex
	links     map[string]*link
	redialAt  map[string]time.Time // When a peer may be dialled again.
	lastCall  uint64
	closed    bool
	sentBytes uint64
}

// NewPool makes an empty pool.
func NewPool(options PoolOptions) *Pool {
	if options.AckTimeout == 0 {
		options.AckTimeout = DefaultAckTimeout
	}
	if options.HTTP == nil {
		options.HTTP = &http.Client{}
	}
	if options.Go == nil {
		options.Go = func(do func()) { go do() }
	}
	return &Pool{options: options, links: map[string]*link{}, redialAt: map[string]time.Time{}}
}

// SentBytes returns the size of all frames sent so far.
func (p *Pool) SentBytes() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sentBytes
}

// Enqueue queues an entry for a peer, to be sent in a batch with others. Entries
// to one peer arrive in order while its connection is open.
func (p *Pool) Enqueue(peer, address string, entry Entry) {
	if l := p.link(peer, address); l != nil {
		l.enqueue(entry)
		return
	}
	p.options.Go(func() { p.options.OnDown(peer) })
}

// Call sends a frame and waits for the reply.
func (p *Pool) Call(ctx context.Context, peer, address string, frame Frame) (reply Frame, err error) {
	l := p.link(peer, address)
	if l == nil {
		return Frame{}, errors.Annotatef(ErrNoReply, "%s could not be reached and is not dialled again yet", peer)
	}
	return l.call(ctx, frame)
}

// Post sends a frame without waiting for a reply. It is lost if the peer cannot
// be reached.
func (p *Pool) Post(peer, address string, frame Frame) {
	if l := p.link(peer, address); l != nil {
		l.post(frame)
	}
}

// Flush waits until the frames queued so far have been written to the connections to the peers, or have
// been lost, or until the context ends.
func (p *Pool) Flush(ctx context.Context) {
	p.mu.Lock()
	links := slices.Collect(maps.Values(p.links))
	p.mu.Unlock()
	for _, l := range links {
		l.awaitWritten(ctx)
	}
}

// Disconnect closes the connection to a peer, for one that leaves calls unanswered:
// the connection may be dead without an error while a new one would work.
func (p *Pool) Disconnect(peer string) {
	p.mu.Lock()
	l := p.links[peer]
	p.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	links := p.links
	p.links = map[string]*link{}
	p.closed = true
	p.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

// link returns the connection to a peer and opens one if there is none. It
// returns nil during the back-off after the peer was unreachable.
func (p *Pool) link(peer, address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[peer]; l != nil && l.address == address {
		return l
	}
	if p.closed || time.Now().Before(p.redialAt[peer]) {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{
		pool:         p,
		peer:         peer,
		address:      address,
		ctx:          ctx,
		cancel:       cancel,
		wakeups:      make(chan struct{}, 1),
		pendingIndex: map[string]int{},
		replies:      map[uint64]chan Frame{},
	}
	p.links[peer] = l
	p.options.Go(l.run)
	return l
}

// remove removes a connection that has ended.
func (p *Pool) remove(l *link) {
	p.mu.Lock()
	current := p.links[l.peer] == l
	if current {
		delete(p.links, l.peer)
		p.redialAt[l.peer] = time.Now().Add(redialBackoff)
	}
	p.mu.Unlock()
	if current {
		p.options.OnDown(l.peer)
	}
}

func (p *Pool) nextCall() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastCall++
	return p.lastCall
}

func (p *Pool) countBytes(size int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentBytes += uint64(size)
}

// link is one connection to a peer, with one goroutine to write and one to read.
type link struct {
	pool    *Pool
	peer    string
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	wakeups chan struct{}

	mu           sync.Mutex
	pending      []Entry         // Not sent yet.
	pendingIndex map[string]int  // Position of a generation's last pending entry.
	frames       []Frame         // Calls and posts not sent yet.
	isWriting    bool            // Frames that have been taken from the queues are being written.
	flushes      []chan struct{} // Closed once what was queued before has been written.
	replies      map[uint64]chan Frame
	unacked      int       // Batches sent and not acknowledged.
	ackDeadline  time.Time // For the acks of the oldest of them.
}

func (l *link) run() {
	defer l.close()
	connection, err := l.dial()
	if err != nil {
		return
	}
	defer connection.CloseNow()
	connection.SetReadLimit(MaxFrameBytes)
	l.pool.options.Go(func() { l.read(connection) })
	l.write(connection)
}

// close closes the connection and fails the calls that wait on it.
func (l *link) close() {
	l.cancel()
	l.pool.remove(l)
}

func (l *link) dial() (connection *websocket.Conn, err error) {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	header := http.Header{}
	signHeader(header, l.pool.options.Key, l.pool.options.Self, time.Now())
	connection, _, err = websocket.Dial(ctx, "ws://"+l.address+Path, &websocket.DialOptions{
		HTTPClient:      l.pool.options.HTTP,
		HTTPHeader:      header,
		CompressionMode: websocket.CompressionDisabled,
	})
	return connection, err
}

// enqueue queues an entry. Tokens that continue a generation's queued entry are
// merged into it, so that a slow peer gets fewer and larger entries.
func (l *link) enqueue(entry Entry) {
	l.mu.Lock()
	if !l.merge(entry) {
		l.pendingIndex[entry.Generation] = len(l.pending)
		l.pending = append(l.pending, entry)
	}
	l.mu.Unlock()
	l.wake()
}

func (l *link) merge(entry Entry) bool {
	at, found := l.pendingIndex[entry.Generation]
	if !found || entry.Open != nil || entry.Drop {
		return false
	}
	last := &l.pending[at]
	if last.Epoch != entry.Epoch || last.Drop || last.Open != nil || last.Offset+len(last.Tokens) != entry.Offset {
		return false
	}
	last.Tokens = append(last.Tokens, entry.Tokens...)
	if entry.State != nil {
		last.State = entry.State
	}
	if !entry.KeepUntil.IsZero() {
		last.KeepUntil = entry.KeepUntil
	}
	return true
}

func (l *link) wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

func (l *link) post(frame Frame) {
	l.mu.Lock()
	l.frames = append(l.frames, frame)
	l.mu.Unlock()
	l.wake()
}

// awaitWritten waits until the frames queued so far have been written, or the connection or the context ends.
func (l *link) awaitWritten(ctx context.Context) {
	written := make(chan struct{})
	l.mu.Lock()
	if len(l.frames) == 0 && len(l.pending) == 0 && !l.isWriting {
		l.mu.Unlock()
		return
	}
	l.flushes = append(l.flushes, written)
	l.mu.Unlock()
	l.wake()
	select {
	case <-written:
	case <-l.ctx.Done():
	case <-ctx.Done():
	}
}

func (l *link) call(ctx context.Context, frame Frame) (reply Frame, err error) {
	frame.Call = l.pool.nextCall()
	result := make(chan Frame, 1)
	l.mu.Lock()
	l.frames = append(l.frames, frame)
	l.replies[frame.Call] = result
	l.mu.Unlock()
	l.wake()
	defer l.removeCall(frame.Call)
	select {
	case reply = <-result:
		return reply, nil
	case <-l.ctx.Done():
		return Frame{}, errors.Annotatef(ErrNoReply, "connection to %s ended", l.peer)
	case <-ctx.Done():
		return Frame{}, errors.Annotatef(ErrNoReply, "%s: %v", l.peer, ctx.Err())
	}
}

func (l *link) removeCall(call uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.replies, call)
}

// write sends the queued frames, and ends the connection when acks are overdue. The timer
// for that only runs while acks are outstanding: a VM of a large fleet holds some sixty
// connections.
func (l *link) write(connection *websocket.Conn) {
	lastBatch := time.Time{}
	var ackCheck <-chan time.Time
	for {
		if ackCheck == nil && l.awaitsAck() {
			ackCheck = time.After(l.pool.options.AckTimeout / 4)
		}
		select {
		case <-l.ctx.Done():
			return
		case <-ackCheck:
			ackCheck = nil
			if l.ackOverdue(time.Now()) {
				return
			}
		case <-l.wakeups:
			time.Sleep(time.Until(lastBatch.Add(batchInterval)))
			if !l.flush(connection) {
				return
			}
			lastBatch = time.Now()
		}
	}
}

func (l *link) awaitsAck() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unacked > 0
}

func (l *link) ackOverdue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unacked > 0 && now.After(l.ackDeadline)
}

func (l *link) flush(connection *websocket.Conn) bool {
	frames, flushes := l.takeFrames()
	for _, frame := range frames {
		body, err := Encode(frame)
		if err != nil {
			return false
		}
		l.pool.countBytes(len(body))
		ctx, cancel := context.WithTimeout(l.ctx, writeTimeout)
		err = connection.Write(ctx, websocket.MessageBinary, body)
		cancel()
		if err != nil {
			return false
		}
	}
	l.mu.Lock()
	l.isWriting = false
	l.mu.Unlock()
	for _, written := range flushes {
		close(written)
	}
	return true
}

// takeFrames empties the queues: one frame with all entries, then the calls and posts. Flushes are the waits
// that end once these have been written.
func (l *link) takeFrames() (frames []Frame, flushes []chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) > 0 {
		frames = append(frames, Frame{Entries: l.pending})
		l.pending = nil
		l.pendingIndex = map[string]int{}
		if l.unacked == 0 {
			l.ackDeadline = time.Now().Add(l.pool.options.AckTimeout)
		}
		l.unacked++
	}
	frames = append(frames, l.frames...)
	flushes = l.flushes
	l.frames, l.flushes = nil, nil
	l.isWriting = true
	return frames, flushes
}

func (l *link) read(connection *websocket.Conn) {
	defer l.cancel()
	for {
		_, body, err := connection.Read(l.ctx)
		if err != nil {
			return
		}
		frame, err := Decode(body)
		if err != nil {
			return
		}
		if len(frame.Acks) > 0 {
			l.recordAck()
			l.pool.options.OnAcks(l.peer, frame.Acks)
		}
		if frame.Reply != 0 {
			l.deliver(frame)
		}
	}
}

func (l *link) recordAck() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unacked--
	l.ackDeadline = time.Now().Add(l.pool.options.AckTimeout)
}

func (l *link) deliver(frame Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if result := l.replies[frame.Reply]; result != nil {
		result <- frame // Does not block: the channel has a buffer for the one reply.
		delete(l.replies, frame.Reply)
	}
}
