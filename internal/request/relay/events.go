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

// readEvent reads up to and including the next blank line. A truncated event is an error,
// even if the body ends regularly. io.EOF means that the body ended between two events.
func readEvent(reader *bufio.Reader) (e frame, err error) {
	raw := bytes.Buffer{}
	for {
		line, err := reader.ReadSlice('\n')
		raw.Write(line)
		if errors.Is(err, bufio.ErrBufferFull) && raw.Len() <= maxEvent {
			continue
		}
		if err == io.EOF && raw.Len() == 0 {
			return frame{}, io.EOF
		}
		if err != nil {
			return frame{}, errors.Annotate(err, "event is cut off")
		}
		if raw.Len() > maxEvent {
			return frame{}, errors.Errorf("event has more than %d bytes", maxEvent)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return frame{raw: raw.Bytes(), id: eventID(raw.Bytes()), comment: isComment(raw.Bytes())}, nil
		}
	}
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
