package load

import (
	"encoding/json"
	"fmt"
	"strings"

	"damaskbridge.example/damaskbridge/standin"
	"damaskbridge.example/damaskbridge/standin/content"
)

// pipelineBody is a whole pipeline response, and the data of a stream's last
// event.
type pipelineBody struct {
	Request          string      `json:"request"`
	Output           string      `json:"output"`
	Complete         bool        `json:"complete"`
	Count            int         `json:"count"`
	SHA256           string      `json:"sha256"`
	Stages           []stageInfo `json:"stages"`
	CrossRegionBytes int64       `json:"cross_region_bytes"`
}

func checkPipeline(r *request, body []byte, out *result) {
	var b pipelineBody
	if err := json.Unmarshal(body, &b); err != nil {
		out.wrong("body: %v", err)
		return
	}
	out.stages, out.cross = b.Stages, b.CrossRegionBytes
	switch {
	case !b.Complete:
		out.incomplete("the response is not marked complete")
	case b.Output != r.expectedText():
		out.wrong("output %s, want %s", brief(b.Output), brief(r.expectedText()))
	case out.requestID != "" && b.Request != out.requestID:
		out.wrong("request %q in the body, %q in the header", b.Request, out.requestID)
	default:
		out.verdict = verdictRight
	}
}

func checkChat(r *request, body []byte, out *result) {
	var b struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(body, &b); err != nil {
		out.wrong("body: %v", err)
		return
	}
	if len(b.Choices) != 1 {
		out.wrong("%d choices, want 1", len(b.Choices))
		return
	}
	got := b.Choices[0].Message.Content
	checkText(r, got, b.Choices[0].FinishReason != "", out)
}

// checkText compares a text with the expected one. A true beginning of it that
// was not marked as ended is incomplete, anything else wrong.
func checkText(r *request, got string, ended bool, out *result) {
	want := r.expectedText()
	switch {
	case got == want && ended:
		out.verdict = verdictRight
	case strings.HasPrefix(want, got) && !ended:
		out.incomplete("%d of %d bytes and no end", len(got), len(want))
	default:
		out.wrong("text %s, want %s", brief(got), brief(want))
	}
}

func checkService(r *request, body []byte, out *result) {
	var b standin.ServiceResponse
	if err := json.Unmarshal(body, &b); err != nil {
		out.wrong("body: %v", err)
		return
	}
	out.body = body
	switch {
	case b.Op != r.profile.Op:
		out.wrong("operation %q, want %q", b.Op, r.profile.Op)
	case b.Echo != content.ServiceEcho(r.body()):
		out.wrong("echo %q is not of this request's body", b.Echo)
	case r.key != "" && b.Executions > 1:
		out.verdict = verdictDuplicate
		out.note = fmt.Sprintf("key %s executed %d times", r.key, b.Executions)
	default:
		out.verdict = verdictRight
	}
}

func (out *result) wrong(format string, args ...any) {
	out.verdict = verdictWrong
	out.note = fmt.Sprintf(format, args...)
}

func (out *result) incomplete(format string, args ...any) {
	out.verdict = verdictIncomplete
	out.note = fmt.Sprintf(format, args...)
}

// brief shortens a text for a note.
func brief(s string) string {
	const limit = 60
	if len(s) > limit {
		return fmt.Sprintf("%q... (%d bytes)", s[:limit], len(s))
	}
	return fmt.Sprintf("%q", s)
}
