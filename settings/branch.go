package settings

import (
	"sort"
	"strings"
)

// setting is a value set on a branch.
type setting struct {
	key    Key
	value  string
	parsed int64
	// version is the tree version in which the value was set.
	version uint64
}

// branch is a node of the value tree. Branches without values and children are
// removed, so that trees with equal content have equal structure.
type branch struct {
	values   []setting // sorted by key
	children trie[*branch]
}

// find returns the value set on the branch itself.
func (b *branch) find(key Key) (setting, bool) {
	i := b.search(key)
	if i < len(b.values) && b.values[i].key == key {
		return b.values[i], true
	}
	return setting{}, false
}

func (b *branch) search(key Key) int {
	return sort.Search(len(b.values), func(i int) bool { return b.values[i].key >= key })
}

func (b *branch) empty() bool {
	return len(b.values) == 0 && b.children.size == 0
}

// at returns the branch at path, or nil if it does not exist.
func (b *branch) at(path string) *branch {
	for b != nil && path != "" {
		var head string
		head, path = cutPath(path)
		b, _ = b.children.get(head)
	}
	return b
}

// with returns a copy in which the branch at path is replaced by
// change(branch). The argument of change is nil if the branch does not exist.
func (b *branch) with(path string, change func(*branch) *branch) *branch {
	if path == "" {
		return change(b)
	}
	head, rest := cutPath(path)
	out := &branch{}
	if b != nil {
		*out = *b
	}
	child, _ := out.children.get(head)
	child = child.with(rest, change)
	if child == nil || child.empty() {
		out.children = out.children.remove(head)
		return out
	}
	out.children = out.children.put(head, child)
	return out
}

// set returns a copy of the branch with the value set; b may be nil.
func (b *branch) set(s setting) *branch {
	out := &branch{}
	if b != nil {
		out.children = b.children
		out.values = b.values
	}
	i := out.search(s.key)
	tail := out.values[i:]
	if len(tail) > 0 && tail[0].key == s.key {
		tail = tail[1:]
	}
	values := make([]setting, 0, len(out.values)+1)
	values = append(values, out.values[:i]...)
	values = append(values, s)
	out.values = append(values, tail...)
	return out
}

// unset returns a copy of the branch without the value of key, which must be
// set.
func (b *branch) unset(key Key) *branch {
	i := b.search(key)
	values := make([]setting, 0, len(b.values))
	values = append(values, b.values[:i]...)
	values = append(values, b.values[i+1:]...)
	return &branch{values: values, children: b.children}
}

// walk calls f for the branch and all its descendants, parents first and
// siblings in ascending order of their names.
func (b *branch) walk(path string, f func(path string, b *branch)) {
	f(path, b)
	for _, name := range b.children.sortedKeys() {
		child, _ := b.children.get(name)
		child.walk(ChildBranch(path, name), f)
	}
}

func cutPath(path string) (head, rest string) {
	head, rest, _ = strings.Cut(path, "/")
	return head, rest
}

// ChildBranch returns the path of a child branch; the root's path is empty.
func ChildBranch(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}
