package load

import "context"

// Run makes one run and reports on it.
func Run(ctx context.Context, o Options) (*Report, error) {
	o.setDefaults()
	if err := o.Check(); err != nil {
		return nil, err
	}
	return newRunner(o).run(ctx)
}
