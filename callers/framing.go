package callers

// framePhase is the part of a request to which the next byte belongs.
type framePhase int

const (
	// phaseHead: the head of a request, or empty lines before it.
	phaseHead framePhase = iota
	// phaseBody: a body of known length.
	phaseBody
	// phaseChunkSize, phaseChunkData, phaseChunkEnd, phaseTrailer: a body in chunks.
	phaseChunkSize
	phaseChunkData
	phaseChunkEnd
	phaseTrailer
	// phaseUnknown: a body whose end cannot be told, for example since its chunks are
	// malformed. It lasts until reset.
	phaseUnknown
)

// framer finds where the parts of requests end in the bytes of a connection, so that
// net/http never reads ahead of the request that it handles. It is pure.
type framer struct {
	phase framePhase
	// left is the number of bytes left of a body or a chunk.
	left int64
	// size is the size of the next chunk, line the part of its line that was reached.
	size int64
	line chunkLine
	// begun is true if the phase has had a byte that is no line end, lineBegun if the
	// line has.
	begun     bool
	lineBegun bool
}

// take returns how many bytes of b, at least one if there are any, go up to the end
// of a head or of a body, and moves on by so many.
func (f *framer) take(b []byte) int {
	n := 0
	for n < len(b) {
		if f.phase == phaseUnknown {
			return len(b)
		}
		if f.phase == phaseBody || f.phase == phaseChunkData {
			part := min(f.left, int64(len(b)-n))
			f.left -= part
			n += int(part)
			if f.left == 0 && f.endData() {
				return n
			}
			continue
		}
		ended := f.step(b[n])
		n++
		if ended {
			return n
		}
	}
	return n
}

// endData ends a body or the data of a chunk. It reports the end of the body.
func (f *framer) endData() bool {
	if f.phase == phaseBody {
		f.reset()
		return true
	}
	f.phase, f.line = phaseChunkEnd, beforeSize
	return false
}

// step moves on by one byte of a line. It reports the end of a head or of a body.
func (f *framer) step(c byte) bool {
	switch f.phase {
	case phaseChunkSize:
		f.stepChunkSize(c)
		return false
	case phaseChunkEnd:
		f.stepChunkEnd(c)
		return false
	}
	return f.stepLine(c)
}

// stepLine moves on by one byte of a head or a trailer, which an empty line ends. Empty
// lines before a head are skipped.
func (f *framer) stepLine(c byte) bool {
	switch c {
	case '\n':
		if !f.lineBegun && (f.begun || f.phase == phaseTrailer) {
			f.reset()
			return true
		}
		f.lineBegun = false
	case '\r':
	default:
		f.begun, f.lineBegun = true, true
	}
	return false
}

// maxChunkBytes is the size from which a chunk is not followed.
const maxChunkBytes = 1 << 40

// chunkLine is a part of the line before the data of a chunk.
type chunkLine int

const (
	// beforeSize: no digit of the size yet.
	beforeSize chunkLine = iota
	inSize
	// afterSize: white space behind the size.
	afterSize
	inExtension
	// atLineFeed: behind the carriage return.
	atLineFeed
)

// stepChunkSize moves on by one byte of a chunk's line. It follows exactly the lines
// that net/http accepts: the end of a body that net/http refuses must not be found.
func (f *framer) stepChunkSize(c byte) {
	digit, isDigit := hexDigit(c)
	switch {
	case f.line == atLineFeed:
		f.endLine(c, f.endChunkSize)
	case c == '\r' && f.line != beforeSize:
		f.line = atLineFeed
	case f.line == inExtension && c != '\n':
	case isDigit && f.line != afterSize:
		f.line = inSize
		f.size = f.size<<4 | digit
		if f.size >= maxChunkBytes {
			f.phase = phaseUnknown
		}
	case c == ';' && f.line == inSize:
		f.line = inExtension
	case (c == ' ' || c == '\t') && f.line != beforeSize:
		f.line = afterSize
	default:
		f.phase = phaseUnknown
	}
}

// stepChunkEnd moves on by one byte of the line end behind the data of a chunk.
func (f *framer) stepChunkEnd(c byte) {
	switch {
	case f.line == atLineFeed:
		f.endLine(c, f.beginChunk)
	case c == '\r':
		f.line = atLineFeed
	default:
		f.phase = phaseUnknown
	}
}

// endLine takes the line feed behind a carriage return and calls next.
func (f *framer) endLine(c byte, next func()) {
	if c != '\n' {
		f.phase = phaseUnknown
		return
	}
	next()
}

func (f *framer) endChunkSize() {
	if f.size == 0 {
		f.phase, f.lineBegun = phaseTrailer, false
		return
	}
	f.phase, f.left = phaseChunkData, f.size
}

func (f *framer) beginChunk() { f.phase, f.size, f.line = phaseChunkSize, 0, beforeSize }

// reset expects the head of the next request.
func (f *framer) reset() { *f = framer{} }

// beginBody tells that the request whose head has ended has a body of a length in
// bytes, or one in chunks if that is negative. It has no effect without a body.
func (f *framer) beginBody(length int64) {
	switch {
	case length < 0:
		f.beginChunk()
	case length > 0:
		f.phase, f.left = phaseBody, length
	}
}

// headBegun reports whether part of a head, and not its end, was taken.
func (f *framer) headBegun() bool { return f.phase == phaseHead && f.begun }

func hexDigit(c byte) (int64, bool) {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}
