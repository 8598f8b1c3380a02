package ledger

// maxInterned is the maximum number of interned content types.
const maxInterned = 256

// internTable keeps one copy of each content type; services use only a few.
// Otherwise each key would hold the copy that its command was decoded into,
// which takes at least 24 bytes.
type internTable map[string]string

func (t internTable) get(s string) string {
	if kept, ok := t[s]; ok {
		return kept
	}
	if len(t) < maxInterned {
		t[s] = s
	}
	return s
}
