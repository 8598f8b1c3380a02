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

// StageReport says how one stage of a request was executed.
type StageReport struct {
	Name     string `json:"name"`
	Kind     string `json:"kind"`
	Attempts int    `json:"attempts"`
	Upstream string `json:"upstream"`
	Region   string `json:"region"`
	// MS is the stage's duration in milliseconds.
	MS        float64 `json:"ms"`
	CostUnits float64 `json:"cost_units"`
	// first is the time to the first token of the winning attempt.
	first time.Duration
}

// served is the latency that admission compares: for a generate stage the time
// to the first token, since the whole time depends on the answer's length.
func (r *StageReport) served(took time.Duration) time.Duration {
	if r.first > 0 {
		return r.first
	}
	return took
}

// PipelineResponse is the answer of a pipeline that is not streamed.
type PipelineResponse struct {
	Request          string        `json:"request"`
	Output           string        `json:"output"`
	Complete         bool          `json:"complete"`
	Stages           []StageReport `json:"stages"`
	CrossRegionBytes int           `json:"cross_region_bytes"`
}

// TokenEvent is one event of a stream.
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

// ChatRequest is the part of the OpenAI chat request that is used.
type ChatRequest struct {
	Model               string             `json:"model"`
	Messages            []upstream.Message `json:"messages"`
	MaxTokens           int                `json:"max_tokens"`
	MaxCompletionTokens int                `json:"max_completion_tokens"`
	Stream              bool               `json:"stream"`
	StreamOptions       *ChatStreamOptions `json:"stream_options"`
}

// ChatStreamOptions are the stream options of the OpenAI chat request.
type ChatStreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// ChatMessage is a message of a chat response.
type ChatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ChatChoice is the one choice of a chat response.
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

// ChatResponse is a chat completion or one chunk of it.
type ChatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *ChatUsage   `json:"usage,omitempty"`
}

// ModelList is the answer of GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one pipeline, listed as an OpenAI model.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}
