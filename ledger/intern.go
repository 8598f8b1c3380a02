package ledger

// internMax bounds the content types that are kept once for all answers.
const internMax = 256

// intern keeps one copy of each content type, of which services use few. The
// copies that commands are decoded into would take 24 bytes and more for each
// key.
type intern map[string]string

func (n intern) get(s string) string {
	if kept, ok := n[s]; ok {
		return kept
	}
	if len(n) < internMax {
		n[s] = s
	}
	return s
}
