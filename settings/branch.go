package settings

import (
	"sort"
	"strings"
)

// setting is one value that a branch sets.
type setting struct {
	key    Key
	value  string
	number int64
	// version is the tree version that set the value.
	version uint64
}

// branch is one node of the tree of values. A branch without values and
// children does not exist, so that equal contents have equal shapes.
type branch struct {
	values   []setting // sorted by key
	children trie[*branch]
}

// find gives the value that the branch itself sets.
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

// at gives the branch at path, nil if it does not exist.
func (b *branch) at(path string) *branch {
	for b != nil && path != "" {
		var head string
		head, path = cutPath(path)
		b, _ = b.children.get(head)
	}
	return b
}

// with gives a copy in which the branch at path has been replaced by
// change(branch). A nil branch stands for one that does not exist.
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

// set gives a copy with the value set.
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

// unset gives a copy without a value for key.
func (b *branch) unset(key Key) *branch {
	i := b.search(key)
	values := make([]setting, 0, len(b.values))
	values = append(values, b.values[:i]...)
	values = append(values, b.values[i+1:]...)
	return &branch{values: values, children: b.children}
}

// walk calls f for the branch and all below it, parents first and siblings in
// ascending order.
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

// ChildBranch gives the path of a child branch; the root's path is empty.
func ChildBranch(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}
