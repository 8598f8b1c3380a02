package content

import "strings"

// Pipeline returns the expected output of a pipeline for an input. Stages are
// the kinds of its stages in order. Each stage gets the original input and the
// previous stage's output; generate stages limit their output to maxTokens.
func Pipeline(stages []string, input string, maxTokens int) string {
	return strings.Join(PipelineTokens(stages, input, maxTokens), "")
}

// PipelineTokens is Pipeline with its output as the tokens that a stream
// carries. A pipeline that does not end in a generate stage gives one token.
func PipelineTokens(stages []string, input string, maxTokens int) []string {
	caller := []Message{{Role: RoleUser, Content: input}}
	return ChatTokens(stages, caller, maxTokens)
}

// ChatTokens returns the expected tokens of a chat request that names a
// pipeline. Stages before the last generate stage get ChatInput(messages).
func ChatTokens(stages []string, messages []Message, maxTokens int) []string {
	input := ChatInput(messages)
	prior := ""
	var tokens []string
	for _, kind := range stages {
		if kind == Generate {
			tokens = Tokens(GenerateMessages(prior, messages), maxTokens)
		} else {
			tokens = []string{StageOutput(kind, input, prior)}
		}
		prior = strings.Join(tokens, "")
	}
	return tokens
}
