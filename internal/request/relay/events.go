package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

const (
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
	// maxComments bounds the comments between two events, in bytes: some thousand keep-alive
	// comment lines.
	maxComments = 64 << 10
)

// frame is one complete event of a stream: its bytes with the final blank line, and its
// id, "" if it has none.
//
//	id: 12
//	data: four trucks
type frame struct {
	raw []byte
	id  string
	// comment is set if the frame consists of comment lines only, such as ": wait".
	comment bool
}

// eventReader reads the events of an answer. Take and return take the memory of an event above
// freeEventBytes from the limit that all answers share.
type eventReader struct {
	reader       *bufio.Reader
	takeMemory   func(size int64) error
	returnMemory func(size int64)
	taken        int64
}

// freeEventBytes is the size of an event up to which its memory is not taken from the limit of all
// answers. Most events have some hundred bytes.
const freeEventBytes = 4 << 10

// next reads up to and including the next blank line. A truncated event is an error, even if the body
// ends regularly. io.EOF means that the body ended between two events. The event is valid until the
// next call.
func (r *eventReader) next() (e frame, err error) {
	r.release()
	raw := []byte{}
	for {
		line, err := r.reader.ReadSlice('\n')
		if raw, err = r.append(raw, line, err); err != nil && (!errors.Is(err, bufio.ErrBufferFull) || len(raw) > maxEvent) {
			if err == io.EOF && len(raw) == 0 {
				return frame{}, io.EOF
			}
			return frame{}, errors.Annotate(err, "event is cut off")
		}
		if len(raw) > maxEvent {
			return frame{}, errors.Errorf("event has more than %d bytes", maxEvent)
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return frame{raw: raw, id: eventID(raw), comment: isComment(raw)}, nil
		}
	}
}

// append appends a line that was read with an error to an event. It takes the memory before it uses
// it, also for the copy while the event grows.
func (r *eventReader) append(raw, line []byte, readErr error) ([]byte, error) {
	if size := len(raw) + len(line); size > cap(raw) && size > freeEventBytes {
		taken := int64(2 * size)
		if err := r.takeMemory(taken); err != nil {
			return raw, err
		}
		larger := append(make([]byte, 0, taken), raw...)
		r.returnMemory(r.taken)
		r.taken = taken
		raw = larger
	}
	return append(raw, line...), readErr
}

// release returns the memory of the last event.
func (r *eventReader) release() {
	r.returnMemory(r.taken)
	r.taken = 0
}

func isComment(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

func eventID(raw []byte) string {
	for _, line := range strings.Split(string(raw), "\n") {
		if value, found := strings.CutPrefix(line, "id:"); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// follows reports whether an event may come after the last one that the caller has: its id is
// higher. The first event of a run that continues a stream needs an id, as what a server answers
// instead of a stream may look like an event.
func follows(e frame, last string, first bool) bool {
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true // The stream has begun with this run, or its ids are no numbers.
	}
	id, err := strconv.ParseUint(e.id, 10, 64)
	if err != nil {
		return !first && e.id == ""
	}
	return id > before
}
