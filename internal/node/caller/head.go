package caller

// headCounter estimates the memory that heads take once they are parsed.
type headCounter struct {
	bytes, fields int64 // Of the head that is not complete.
	line          int   // Length of its last line.
	name          []byte
	hasBody       bool  // It names a length or an encoding of a body.
	largest       int64 // Estimate of the largest head that was complete in the last read.
	ahead         int64 // Bytes of the last read after the first head that was complete.
}

// bodyFields are the beginnings of the lines that announce a body.
var bodyFields = [...]string{"content-length:", "transfer-encoding:"}

// maxNameBytes is the length of the longest of bodyFields.
const maxNameBytes = len("transfer-encoding:")

// add counts what has been read. If it ends a head that announces a body, what follows is not counted but
// returned: whether it belongs to the body is not known yet.
func (h *headCounter) add(read []byte) (unsorted []byte) {
	h.largest, h.ahead = 0, 0
	for i, b := range read {
		if !h.addByte(b) {
			continue
		}
		rest := read[i+1:]
		if h.hasBody {
			h.hasBody = false
			return rest
		}
		ended := h.largest
		h.addAll(rest)
		h.largest, h.ahead = max(h.largest, ended), int64(len(rest))
		return nil
	}
	return nil
}

// addAll counts heads, one after the other.
func (h *headCounter) addAll(heads []byte) {
	h.largest, h.ahead = 0, 0
	for _, b := range heads {
		h.addByte(b)
	}
	h.hasBody = false
}

// addByte reports whether a head ends with the byte.
func (h *headCounter) addByte(b byte) (ended bool) {
	h.bytes++
	switch {
	case b == '\r':
	case b != '\n':
		h.line++
		h.addToName(b)
	case h.line > 0:
		h.fields++
		h.endLine()
	default: // An empty line ends the head.
		h.largest = max(h.largest, h.cost())
		h.bytes, h.fields = 0, 0
		return true
	}
	return false
}

func (h *headCounter) addToName(b byte) {
	if len(h.name) == maxNameBytes {
		return
	}
	if 'A' <= b && b <= 'Z' {
		b += 'a' - 'A'
	}
	h.name = append(h.name, b)
}

func (h *headCounter) endLine() {
	for _, field := range bodyFields {
		if len(h.name) >= len(field) && string(h.name[:len(field)]) == field {
			h.hasBody = true
		}
	}
	h.line, h.name = 0, h.name[:0]
}

// cost returns the estimate of the largest head, in bytes.
func (h *headCounter) cost() int64 {
	return max(h.largest, h.bytes*headByteFactor+h.fields*headFieldBytes)
}

// bodyFraming finds the end of a request's body in what is read. The zero value is that of an empty body.
type bodyFraming struct {
	left    int64 // What has not been read of the body or, if it comes in chunks, of the chunk.
	chunk   chunkPart
	size    int64 // Of the chunk, as far as its line has been read.
	hasSize bool  // The rest of the line is no part of the size.
	line    int   // Length of the trailer's last line.
}

// chunkPart is the part of a body in chunks that is read next.
type chunkPart int

const (
	chunkNone chunkPart = iota // The body has a length, or has ended.
	chunkSize
	chunkData
	chunkEnd // The line break after the data.
	chunkTrailer
)

// maxChunkBytes bounds the size of a chunk, so that it cannot overflow.
const maxChunkBytes = 1 << 50

// newBodyFraming returns that of a body of a length, or in chunks if it is -1.
func newBodyFraming(length int64) bodyFraming {
	if length < 0 {
		return bodyFraming{chunk: chunkSize}
	}
	return bodyFraming{left: length}
}

// skip returns what of the bytes follows the body.
func (b *bodyFraming) skip(read []byte) (following []byte) {
	for len(read) > 0 && (b.left > 0 || b.chunk != chunkNone) {
		if b.left > 0 {
			skipped := min(b.left, int64(len(read)))
			b.left -= skipped
			read = read[skipped:]
			continue
		}
		b.skipFraming(read[0])
		read = read[1:]
	}
	return read
}

// skipFraming reads a byte of a body in chunks that is not of their data.
func (b *bodyFraming) skipFraming(next byte) {
	switch {
	case b.chunk == chunkData:
		b.chunk = chunkEnd
		b.skipFraming(next)
	case b.chunk == chunkEnd && next == '\n':
		b.chunk = chunkSize
	case b.chunk == chunkSize && next == '\n':
		b.endSize()
	case b.chunk == chunkSize:
		b.addDigit(next)
	case b.chunk == chunkTrailer && next == '\n' && b.line == 0:
		*b = bodyFraming{}
	case b.chunk == chunkTrailer && next == '\n':
		b.line = 0
	case b.chunk == chunkTrailer && next != '\r':
		b.line++
	}
}

func (b *bodyFraming) endSize() {
	b.left, b.chunk = b.size, chunkData
	if b.size == 0 {
		b.chunk = chunkTrailer
	}
	b.size, b.hasSize, b.line = 0, false, 0
}

func (b *bodyFraming) addDigit(next byte) {
	digit := int64(-1)
	switch {
	case '0' <= next && next <= '9':
		digit = int64(next - '0')
	case 'a' <= next && next <= 'f':
		digit = int64(next-'a') + 10
	case 'A' <= next && next <= 'F':
		digit = int64(next-'A') + 10
	}
	if digit < 0 || b.hasSize {
		b.hasSize = true
		return
	}
	b.size = min(b.size*16+digit, maxChunkBytes)
}
