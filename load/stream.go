package load

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/standin/content"
)

// maxResumes bounds how often one try resumes its stream.
const maxResumes = 3

// errDecided says that the stream has ended with a verdict: its events break
// the protocol, or it ended with a problem.
var errDecided = errors.New("the stream has its verdict")

// streamReader reads the events of a pipeline stream, resumes it where its
// connection fails, and checks that no token is missing or repeated.
type streamReader struct {
	client  *client
	request *request
	due     time.Time
	out     *result

	count int
	text  strings.Builder
	last  time.Time
	done  *pipelineBody
}

func (s *streamReader) read(ctx context.Context, res *http.Response) {
	err := s.events(res.Body)
	for range maxResumes {
		if s.done != nil || errors.Is(err, errDecided) || s.out.requestID == "" || ctx.Err() != nil {
			break
		}
		if err = s.resume(ctx); err != nil && errors.Is(err, errNoResume) {
			break
		}
	}
	s.judge(err)
}

// errNoResume says that the entry VM does not resume the stream.
var errNoResume = errors.New("the stream was not resumed")

func (s *streamReader) resume(ctx context.Context) error {
	address := s.out.entry.URL + "/v1/streams/" + s.out.requestID
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return errNoResume
	}
	req.Header.Set("Authorization", "Bearer "+s.request.workspace.Token)
	req.Header.Set("Last-Event-ID", strconv.Itoa(s.count))
	res, err := s.client.http.Do(req)
	if err != nil {
		return errNoResume
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errNoResume
	}
	s.client.measured.resumed()
	return s.events(res.Body)
}

// events reads events until the end of the body.
func (s *streamReader) events(body io.Reader) error {
	events := newSSEReader(body)
	for {
		e, err := events.next()
		if err != nil {
			return err
		}
		if err := s.take(e); err != nil {
			return err
		}
		if s.done != nil {
			return nil
		}
	}
}

func (s *streamReader) take(e event) error {
	switch e.name {
	case "token":
		return s.token(e)
	case "done":
		var b pipelineBody
		if err := json.Unmarshal([]byte(e.data), &b); err != nil {
			s.out.wrong("last event: %v", err)
			return errDecided
		}
		s.done = &b
		return nil
	case "error":
		return s.problem([]byte(e.data))
	default:
		s.out.wrong("event %q is not of the protocol", e.name)
		return errDecided
	}
}

// problem takes the problem with which an entry VM ends a stream.
func (s *streamReader) problem(data []byte) error {
	p := &problem.Problem{}
	if err := json.Unmarshal(data, p); err != nil {
		s.out.wrong("error event: %v", err)
		return errDecided
	}
	s.out.ended(p)
	return errDecided
}

func (s *streamReader) token(e event) error {
	s.measure()
	if e.id != strconv.Itoa(s.count+1) {
		s.out.wrong("event id %q after %d", e.id, s.count)
		return errDecided
	}
	var t struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal([]byte(e.data), &t); err != nil {
		s.out.wrong("event %s: %v", e.id, err)
		return errDecided
	}
	s.count++
	s.text.WriteString(t.Text)
	return nil
}

func (s *streamReader) measure() {
	now := time.Now()
	if s.last.IsZero() {
		s.client.measured.first(s.request.profile.Kind, now.Sub(s.due))
	} else {
		s.client.measured.gap(s.request.profile.Kind, now.Sub(s.last))
	}
	s.last = now
}

// judge returns the verdict once the stream has ended.
func (s *streamReader) judge(err error) {
	out := s.out
	if errors.Is(err, errDecided) {
		return
	}
	got, want := s.text.String(), s.request.expectedText()
	if s.done == nil {
		s.judgeCut(got, want, err)
		return
	}
	out.stages, out.cross = s.done.Stages, s.done.CrossRegionBytes
	switch {
	case !s.done.Complete:
		out.incomplete("the last event is not marked complete")
	case s.done.Count != s.count:
		out.incomplete("%d events, the last event says %d", s.count, s.done.Count)
	case s.done.SHA256 != content.Digest(got):
		out.wrong("the digest in the last event is not of the text received")
	case got != want && strings.HasPrefix(want, got):
		out.incomplete("%d of %d bytes, marked complete", len(got), len(want))
	case got != want:
		out.wrong("text %s, want %s", brief(got), brief(want))
	case out.requestID != "" && s.done.Request != out.requestID:
		out.wrong("request %q in the last event, %q in the header", s.done.Request, out.requestID)
	default:
		out.verdict = verdictRight
	}
}

// judgeCut is for a stream without a last event.
func (s *streamReader) judgeCut(got, want string, err error) {
	if !strings.HasPrefix(want, got) {
		s.out.wrong("text %s, want %s", brief(got), brief(want))
		return
	}
	s.out.incomplete("the stream ended after %d events without its last one: %v; %s", s.count, err, s.out.note)
}

// readChatStream reads and checks an OpenAI stream.
func (c *client) readChatStream(r *request, due time.Time, res *http.Response, out *result) {
	s := &streamReader{client: c, request: r, due: due, out: out}
	events := newSSEReader(res.Body)
	finished, ended := false, false
	for !ended {
		e, err := events.next()
		if err != nil {
			out.note = err.Error()
			break
		}
		if e.data == "[DONE]" {
			ended = true
			break
		}
		if p := chunkProblem(e.data); p != nil {
			out.ended(p)
			return
		}
		text, stop, err := chunkText(e.data)
		if err != nil {
			out.wrong("chunk: %v", err)
			return
		}
		finished = finished || stop
		if text != "" {
			s.measure()
			s.text.WriteString(text)
		}
	}
	checkText(r, s.text.String(), ended && finished, out)
}

// chunkProblem returns the problem with which an entry VM ends a stream, if the
// chunk is one.
func chunkProblem(data string) *problem.Problem {
	var b struct {
		Error *problem.Problem `json:"error"`
	}
	if json.Unmarshal([]byte(data), &b) != nil {
		return nil
	}
	return b.Error
}

func chunkText(data string) (text string, stop bool, err error) {
	var b struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &b); err != nil {
		return "", false, err
	}
	for _, c := range b.Choices {
		text += c.Delta.Content
		stop = stop || c.FinishReason != nil
	}
	return text, stop, nil
}
