package load

import (
	"bufio"
	"io"
	"strings"
)

// event is one server-sent event.
type event struct {
	id   string
	name string
	data string
}

// sseReader reads server-sent events.
type sseReader struct {
	lines *bufio.Reader
}

func newSSEReader(r io.Reader) *sseReader {
	return &sseReader{lines: bufio.NewReader(r)}
}

// next returns the next event. An event that is cut off is an error.
func (s *sseReader) next() (event, error) {
	var e event
	var data []string
	for {
		line, err := s.lines.ReadString('\n')
		if err != nil {
			if err == io.EOF && (line != "" || len(data) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			if len(data) == 0 {
				continue
			}
			e.data = strings.Join(data, "\n")
			return e, nil
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			e.id = value
		case "event":
			e.name = value
		case "data":
			data = append(data, value)
		}
	}
}
