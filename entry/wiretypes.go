package entry

import (
	"time"

	"damaskbridge.example/damaskbridge/upstream"
)

// PipelineRequest is the body of POST /v1/pipelines/{name}.
type PipelineRequest struct {
	Input     string `json:"input"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// StageReport describes the execution of one stage of a request.
type StageReport struct {
	Name     string `json:"name"`
	Kind     string `json:"kind"`
	Attempts int    `json:"attempts"`
	Upstream string `json:"upstream"`
	Region   string `json:"region"`
	// MS is the stage's duration in milliseconds.
	MS        float64 `json:"ms"`
	CostUnits float64 `json:"cost_units"`
	// firstToken is the time to the first token of the winning attempt.
	firstToken time.Duration
}

// admissionLatency returns the latency that admission compares. For a generate
// stage it is the time to the first token, since the whole duration depends on
// the length of the response.
func (r *StageReport) admissionLatency(took time.Duration) time.Duration {
	if r.firstToken > 0 {
		return r.firstToken
	}
	return took
}

// PipelineResponse is the response of a pipeline that is not streamed.
type PipelineResponse struct {
	Request          string        `json:"request"`
	Output           string        `json:"output"`
	Complete         bool          `json:"complete"`
	Stages           []StageReport `json:"stages"`
	CrossRegionBytes int           `json:"cross_region_bytes"`
}

// TokenEvent is the event of one token in a stream.
type TokenEvent struct {
	Text string `json:"text"`
}

// DoneEvent is the last event of a complete stream.
type DoneEvent struct {
	Complete         bool          `json:"complete"`
	Count            int           `json:"count"`
	Request          string        `json:"request"`
	SHA256           string        `json:"sha256"`
	Stages           []StageReport `json:"stages"`
	CrossRegionBytes int           `json:"cross_region_bytes"`
}

// ChatRequest holds the supported fields of an OpenAI chat completion request.
type ChatRequest struct {
	Model               string             `json:"model"`
	Messages            []upstream.Message `json:"messages"`
	MaxTokens           int                `json:"max_tokens"`
	MaxCompletionTokens int                `json:"max_completion_tokens"`
	Stream              bool               `json:"stream"`
	StreamOptions       *ChatStreamOptions `json:"stream_options"`
}

// ChatStreamOptions holds the stream options of an OpenAI chat completion
// request.
type ChatStreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// ChatMessage is a message, or a part of one, in a chat response.
type ChatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ChatChoice is the only choice of a chat response.
type ChatChoice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatUsage counts the tokens of a chat response.
type ChatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ChatResponse is a chat completion or one chunk of a streamed one.
type ChatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *ChatUsage   `json:"usage,omitempty"`
}

// ModelList is the response of GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is a pipeline in the form of an OpenAI model.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}
