package delta

import (
	"errors"
	"maps"
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/wire"
)

// Store holds the named sets of one VM. It is not safe for concurrent use.
type Store struct {
	parts map[string]*part
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{parts: map[string]*part{}} }

// Get returns the set with a name and the time as of which its content is
// current. The set is nil if the store has none.
func (st *Store) Get(name string) (set *Set, asOf time.Time) {
	p := st.parts[name]
	if p == nil {
		return nil, time.Time{}
	}
	return p.set, p.asOf
}

// Names returns the names of all sets, sorted.
func (st *Store) Names() []string { return slices.Sorted(maps.Keys(st.parts)) }

// Remove forgets a set.
func (st *Store) Remove(name string) { delete(st.parts, name) }

// Put stores content that was current at asOf and reports whether it differs
// from what the store held. Content older than the store's is ignored.
func (st *Store) Put(name string, asOf time.Time, s *Set) (changed bool) {
	p := st.parts[name]
	if p == nil {
		st.parts[name] = &part{set: s, asOf: asOf}
		return true
	}
	if asOf.Before(p.asOf) {
		return false
	}
	p.asOf = asOf
	if p.set.digest == s.digest {
		return false
	}
	p.replace(s)
	return true
}

// Versions returns the versions of all sets, sorted by name.
func (st *Store) Versions(now time.Time) []Version {
	list := make([]Version, 0, len(st.parts))
	for _, name := range st.Names() {
		p := st.parts[name]
		list = append(list, Version{Name: name, Digest: p.set.digest, AgeMS: ageMS(now, p.asOf)})
	}
	return list
}

// ChangesFor returns what a VM lacks that holds the versions in known, which
// were stated at the time calledAt. Only sets whose name include accepts are
// sent.
func (st *Store) ChangesFor(now, calledAt time.Time, known []Version, include func(name string) bool) (*Changes, error) {
	c := &Changes{AgesMS: make([]int64, len(known))}
	held := make(map[string]bool, len(known))
	for i, v := range known {
		held[v.Name] = true
		c.AgesMS[i] = unconfirmed
		p := st.parts[v.Name]
		if p == nil || !include(v.Name) {
			continue
		}
		if p.set.digest == v.Digest {
			c.AgesMS[i] = ageMS(now, p.asOf)
			continue
		}
		if !p.asOf.After(asOf(calledAt, v.AgeMS)) {
			// The caller's content comes from another VM and is the newer one.
			continue
		}
		if d := p.differenceFrom(v.Digest); d != nil {
			c.Updates = append(c.Updates, Update{Name: v.Name, AgeMS: ageMS(now, p.asOf), Difference: d})
			continue
		}
		if err := c.addWhole(now, v.Name, p); err != nil {
			return nil, err
		}
	}
	for _, name := range st.Names() {
		if held[name] || !include(name) {
			continue
		}
		if err := c.addWhole(now, name, st.parts[name]); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Changes) addWhole(now time.Time, name string, p *part) error {
	if p.whole == nil {
		encoded, err := wire.Encode(p.set.Values())
		if err != nil {
			return err
		}
		if p.whole, err = compress(nil, encoded); err != nil {
			return err
		}
	}
	c.Updates = append(c.Updates, Update{Name: name, AgeMS: ageMS(now, p.asOf), Whole: p.whole, Digest: p.set.digest})
	return nil
}

// Apply stores the changes that answer a call which stated the versions in
// known. madeAt is a time at or before which the changes were put together; a
// time too early only makes the content look older. Content older than the
// store's is ignored, and so is a difference from other content than the store's:
// another exchange has overtaken it. Apply returns the names of the sets whose
// content has changed, and the errors of those whose content is damaged.
func (st *Store) Apply(madeAt time.Time, known []Version, c *Changes) (changed []string, err error) {
	for i, age := range c.AgesMS {
		if i >= len(known) || age < 0 {
			continue
		}
		p := st.parts[known[i].Name]
		if p != nil && p.set.digest == known[i].Digest {
			p.confirm(asOf(madeAt, age))
		}
	}
	var errs []error
	for i := range c.Updates {
		u := &c.Updates[i]
		updated, err := st.applyUpdate(madeAt, u)
		if err != nil {
			errs = append(errs, err)
		}
		if updated {
			changed = append(changed, u.Name)
		}
	}
	return changed, errors.Join(errs...)
}

func (st *Store) applyUpdate(madeAt time.Time, u *Update) (updated bool, err error) {
	p := st.parts[u.Name]
	if u.Difference != nil {
		if p == nil || p.set.digest != u.Difference.Base || asOf(madeAt, u.AgeMS).Before(p.asOf) {
			return false, nil
		}
		next, err := u.Difference.apply(u.Name, p.set)
		if err != nil {
			return false, err
		}
		return st.Put(u.Name, asOf(madeAt, u.AgeMS), next), nil
	}
	encoded, err := decompress(nil, u.Whole)
	if err != nil {
		return false, err
	}
	var values [][]byte
	if err := wire.Decode(encoded, &values); err != nil {
		return false, err
	}
	s := NewSet(values)
	if s.digest != u.Digest {
		return false, &MismatchError{Name: u.Name, Want: u.Digest, Got: s.digest}
	}
	return st.Put(u.Name, asOf(madeAt, u.AgeMS), s), nil
}

// confirm records that the part's content was current at t.
func (p *part) confirm(t time.Time) {
	if t.After(p.asOf) {
		p.asOf = t
	}
}

// ageMS returns the age of content in ms, rounded up: rounded down, content would
// get younger each time it is passed on.
func ageMS(now, asOf time.Time) int64 {
	return (now.Sub(asOf) + time.Millisecond - time.Nanosecond).Milliseconds()
}

func asOf(madeAt time.Time, ageMS int64) time.Time {
	return madeAt.Add(-time.Duration(ageMS) * time.Millisecond)
}
