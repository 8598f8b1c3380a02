package content

import "strings"

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Roles of messages.
const (
	RoleSystem = "system"
	RoleUser   = "user"
)

// ChatInput returns the pipeline input of a chat request: the contents of its
// messages joined by newlines. With one message it is that message's content.
func ChatInput(messages []Message) string {
	parts := make([]string, len(messages))
	for i, m := range messages {
		parts[i] = m.Content
	}
	return strings.Join(parts, "\n")
}

// GenerateMessages returns the messages that a generate stage sends to an
// engine: one system message with the previous stage's output, if any,
// followed by the caller's messages.
func GenerateMessages(prior string, caller []Message) []Message {
	if prior == "" {
		return caller
	}
	all := make([]Message, 0, len(caller)+1)
	all = append(all, Message{Role: RoleSystem, Content: prior})
	return append(all, caller...)
}
