package wire

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"
)

// ErrSilent means that a peer did not answer in time.
const ErrSilent = errors.ConstError("peer is silent")

const (
	// DefaultAckLimit is how long a holder may leave a batch unanswered.
	DefaultAckLimit = 300 * time.Millisecond
	// dialLimit bounds the opening of a connection to a peer.
	dialLimit = 300 * time.Millisecond
	// batchEvery is the least time between two batches of entries to one peer.
	// What is offered meanwhile goes out together: with many generations at once,
	// each frame, its answer and the wake-ups around them serve several tokens.
	batchEvery = time.Millisecond
	// redialPause keeps a dead peer from being dialled for every entry.
	redialPause = 250 * time.Millisecond
)

// PoolOptions shapes a Pool. OnAcks gets each frame of acks from a peer. OnDown
// is told when a connection to a peer ended or never came to be; every entry
// offered to that peer since its last ack may be lost.
type PoolOptions struct {
	Self     string
	Key      []byte
	AckLimit time.Duration
	HTTP     *http.Client
	OnAcks   func(peer string, acks []Ack)
	OnDown   func(peer string)
	// Go runs a connection's work beside its caller; nil for a plain goroutine.
	Go func(do func())
}

// Pool holds at most one outgoing connection to each peer.
type Pool struct {
	options PoolOptions

	mu       sync.Mutex
	links    map[string]*link
	refused  map[string]time.Time // Until when a peer is not dialled again.
	calls    uint64
	closed   bool
	sentSize uint64
}

// NewPool makes an empty pool.
func NewPool(options PoolOptions) *Pool {
	if options.AckLimit == 0 {
		options.AckLimit = DefaultAckLimit
	}
	if options.HTTP == nil {
		options.HTTP = &http.Client{}
	}
	if options.Go == nil {
		options.Go = func(do func()) { go do() }
	}
	return &Pool{options: options, links: map[string]*link{}, refused: map[string]time.Time{}}
}

// SentBytes counts the bytes of all frames sent so far.
func (p *Pool) SentBytes() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sentSize
}

// Enqueue sends an entry soon, together with others to the same peer. Entries to
// one peer arrive in order, as long as its connection lives.
func (p *Pool) Enqueue(peer, address string, entry Entry) {
	if l := p.link(peer, address); l != nil {
		l.offer(entry)
		return
	}
	p.options.Go(func() { p.options.OnDown(peer) })
}

// Call sends a frame and waits for its answer.
func (p *Pool) Call(ctx context.Context, peer, address string, frame Frame) (reply Frame, err error) {
	l := p.link(peer, address)
	if l == nil {
		return Frame{}, errors.Annotatef(ErrSilent, "%s was not reachable a moment ago", peer)
	}
	return l.call(ctx, frame)
}

// Post sends a frame without waiting for an answer. It is lost if the peer can't
// be reached.
func (p *Pool) Post(peer, address string, frame Frame) {
	if l := p.link(peer, address); l != nil {
		l.post(frame)
	}
}

// Disconnect ends the connection to a peer, for one that leaves calls unanswered: the
// connection may have gone silent while a new one works.
func (p *Pool) Disconnect(peer string) {
	p.mu.Lock()
	l := p.links[peer]
	p.mu.Unlock()
	if l != nil {
		l.fail()
	}
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	links := p.links
	p.links = map[string]*link{}
	p.closed = true
	p.mu.Unlock()
	for _, l := range links {
		l.fail()
	}
}

// link gives the connection to a peer and starts one if there is none. It
// returns nil while the peer has just been found unreachable.
func (p *Pool) link(peer, address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[peer]; l != nil && l.address == address {
		return l
	}
	if p.closed || time.Now().Before(p.refused[peer]) {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{
		pool:    p,
		peer:    peer,
		address: address,
		ctx:     ctx,
		cancel:  cancel,
		kick:    make(chan struct{}, 1),
		index:   map[string]int{},
		waiting: map[uint64]chan Frame{},
	}
	p.links[peer] = l
	p.options.Go(l.run)
	return l
}

// drop forgets a connection that has ended.
func (p *Pool) drop(l *link) {
	p.mu.Lock()
	current := p.links[l.peer] == l
	if current {
		delete(p.links, l.peer)
		p.refused[l.peer] = time.Now().Add(redialPause)
	}
	p.mu.Unlock()
	if current {
		p.options.OnDown(l.peer)
	}
}

func (p *Pool) nextCall() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return p.calls
}

func (p *Pool) countBytes(size int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentSize += uint64(size)
}

// link is one connection to a peer. One goroutine writes and one reads.
type link struct {
	pool    *Pool
	peer    string
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	kick    chan struct{}

	mu          sync.Mutex
	pending     []Entry        // Not sent yet.
	index       map[string]int // The place of a generation's last pending entry.
	frames      []Frame        // Calls not sent yet.
	waiting     map[uint64]chan Frame
	unacked     int       // Batches sent and not answered.
	ackDeadline time.Time // When the oldest of them has to be answered.
}

func (l *link) run() {
	defer l.fail()
	connection, err := l.dial()
	if err != nil {
		return
	}
	defer connection.CloseNow()
	connection.SetReadLimit(MaxFrameBytes)
	l.pool.options.Go(func() { l.read(connection) })
	l.write(connection)
}

// fail ends the connection and every call that waits on it.
func (l *link) fail() {
	l.cancel()
	l.pool.drop(l)
}

func (l *link) dial() (connection *websocket.Conn, err error) {
	ctx, cancel := context.WithTimeout(l.ctx, dialLimit)
	defer cancel()
	header := http.Header{}
	prove(header, l.pool.options.Key, l.pool.options.Self, time.Now())
	connection, _, err = websocket.Dial(ctx, "ws://"+l.address+Path, &websocket.DialOptions{
		HTTPClient:      l.pool.options.HTTP,
		HTTPHeader:      header,
		CompressionMode: websocket.CompressionDisabled,
	})
	return connection, err
}

// offer queues an entry. Tokens that continue a generation's queued entry are
// merged into it, so that a slow peer gets fewer and larger entries.
func (l *link) offer(entry Entry) {
	l.mu.Lock()
	if !l.merge(entry) {
		l.index[entry.Generation] = len(l.pending)
		l.pending = append(l.pending, entry)
	}
	l.mu.Unlock()
	l.wake()
}

func (l *link) merge(entry Entry) bool {
	at, found := l.index[entry.Generation]
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
	case l.kick <- struct{}{}:
	default:
	}
}

func (l *link) post(frame Frame) {
	l.mu.Lock()
	l.frames = append(l.frames, frame)
	l.mu.Unlock()
	l.wake()
}

func (l *link) call(ctx context.Context, frame Frame) (reply Frame, err error) {
	frame.Call = l.pool.nextCall()
	answer := make(chan Frame, 1)
	l.mu.Lock()
	l.frames = append(l.frames, frame)
	l.waiting[frame.Call] = answer
	l.mu.Unlock()
	l.wake()
	defer l.forget(frame.Call)
	select {
	case reply = <-answer:
		return reply, nil
	case <-l.ctx.Done():
		return Frame{}, errors.Annotatef(ErrSilent, "connection to %s ended", l.peer)
	case <-ctx.Done():
		return Frame{}, errors.Annotatef(ErrSilent, "%s: %v", l.peer, ctx.Err())
	}
}

func (l *link) forget(call uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, call)
}

// write sends what is queued, and ends the connection when an answer is overdue. It only
// wakes up by itself while an answer is due: a VM of a large fleet holds some sixty
// connections.
func (l *link) write(connection *websocket.Conn) {
	lastBatch := time.Time{}
	var overdueLook <-chan time.Time
	for {
		if overdueLook == nil && l.awaitsAck() {
			overdueLook = time.After(l.pool.options.AckLimit / 4)
		}
		select {
		case <-l.ctx.Done():
			return
		case <-overdueLook:
			overdueLook = nil
			if l.overdue(time.Now()) {
				return
			}
		case <-l.kick:
			time.Sleep(time.Until(lastBatch.Add(batchEvery)))
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

func (l *link) overdue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unacked > 0 && now.After(l.ackDeadline)
}

func (l *link) flush(connection *websocket.Conn) bool {
	for _, frame := range l.take() {
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
	return true
}

// take empties the queues: one frame for all entries, then the calls.
func (l *link) take() []Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	frames := []Frame{}
	if len(l.pending) > 0 {
		frames = append(frames, Frame{Entries: l.pending})
		l.pending = nil
		l.index = map[string]int{}
		if l.unacked == 0 {
			l.ackDeadline = time.Now().Add(l.pool.options.AckLimit)
		}
		l.unacked++
	}
	frames = append(frames, l.frames...)
	l.frames = nil
	return frames
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
			l.acked()
			l.pool.options.OnAcks(l.peer, frame.Acks)
		}
		if frame.Reply != 0 {
			l.deliver(frame)
		}
	}
}

func (l *link) acked() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unacked--
	l.ackDeadline = time.Now().Add(l.pool.options.AckLimit)
}

func (l *link) deliver(frame Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer := l.waiting[frame.Reply]; answer != nil {
		answer <- frame // Has room for the one answer.
		delete(l.waiting, frame.Reply)
	}
}
