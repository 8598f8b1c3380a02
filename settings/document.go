package settings

// ParseDocument turns a declarative YAML document into the operations that
// lead from base to it. name is the file's name in errors.
func ParseDocument(name string, doc []byte, base *Tree) ([]Op, error) {
	return nil, nil
}
