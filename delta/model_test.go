package delta

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxTransit is the longest time that a message of the model takes. Whole sets
// are ordered to within it.
const maxTransit = 50 * time.Millisecond

var epoch = time.Unix(1_000_000, 0)

func everything(string) bool { return true }

// world is a model of control VMs that read lists, exchange them through a hub
// and serve entry VMs, over a network that loses, repeats, delays and reorders
// replies. Lists also return to earlier contents.
type world struct {
	t   *rapid.T
	now time.Time
	// truth holds the present content of each list, past the earlier ones.
	truth map[string][][]byte
	past  map[string][][][]byte
	made  int
	// readers are the stores of the control VMs; the first is the hub. entries
	// are those of the entry VMs.
	readers, entries []*Store
	inFlight         []message
	// readAt is when the content of each store's sets was read at its origin. It
	// travels with the messages, unseen by the stores.
	readAt map[*Store]map[string]time.Time
}

// message is a reply on its way to a store.
type message struct {
	to     *Store
	known  []Version
	madeAt time.Time
	reply  *Changes
	readAt map[string]time.Time
}

var modelLists = []string{"runners/a", "runners/b"}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: epoch, truth: map[string][][]byte{}, past: map[string][][][]byte{}, readAt: map[*Store]map[string]time.Time{}}
	for range 3 {
		w.readers = append(w.readers, NewStore())
		w.entries = append(w.entries, NewStore())
	}
	for _, st := range append(append([]*Store{}, w.readers...), w.entries...) {
		w.readAt[st] = map[string]time.Time{}
	}
	for _, name := range modelLists {
		w.change(name)
	}
	return w
}

// change makes a new content that differs in one or two values, or returns to
// an earlier one.
func (w *world) change(name string) {
	values := w.truth[name]
	w.past[name] = append(w.past[name], values)
	if rapid.IntRange(0, 3).Draw(w.t, "return") == 0 {
		w.truth[name] = rapid.SampledFrom(w.past[name]).Draw(w.t, "past")
		return
	}
	if len(values) > 3 {
		values = values[1:]
	}
	w.made++
	w.truth[name] = append(append([][]byte{}, values...), fmt.Appendf(nil, "%s runner %d", name, w.made))
}

// read makes a control VM read a list from its origin.
func (w *world) read(st *Store, name string) {
	st.Put(name, w.now, NewSet(w.truth[name]))
	w.readAt[st][name] = w.now
}

// ask sends a call to a store, whose reply is on its way afterwards.
func (w *world) ask(to, from *Store) {
	known := to.Versions(w.now)
	sentAt := w.now
	w.pass(maxTransit / 2)
	calledAt := w.now
	held := w.draw("held", 0, 300)
	w.now = w.now.Add(held)
	reply, err := from.ChangesFor(w.now, calledAt, known, everything)
	if err != nil {
		w.t.Fatal(err)
	}
	w.inFlight = append(w.inFlight, message{to: to, known: known, madeAt: sentAt.Add(held), reply: reply, readAt: maps.Clone(w.readAt[from])})
}

// deliver applies a reply. It fails the test if the content becomes older, or
// is said to be newer than it is.
func (w *world) deliver(m message) {
	before := map[string]time.Time{}
	for _, name := range m.to.Names() {
		_, before[name] = m.to.Get(name)
	}
	changed, err := m.to.Apply(m.madeAt, m.known, m.reply)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, name := range m.to.Names() {
		_, asOf := m.to.Get(name)
		held := w.readAt[m.to][name]
		if slices.Contains(changed, name) {
			if !m.readAt[name].Add(maxTransit).After(held) {
				w.t.Fatalf("%s went back by %v", name, held.Sub(m.readAt[name]))
			}
			w.readAt[m.to][name] = m.readAt[name]
		} else if asOf.After(before[name]) && m.readAt[name].After(held) {
			w.readAt[m.to][name] = m.readAt[name]
		}
		if asOf.After(w.readAt[m.to][name]) {
			w.t.Fatalf("%s is said to be %v newer than it is", name, asOf.Sub(w.readAt[m.to][name]))
		}
	}
}

func (w *world) draw(label string, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(w.t, label)) * time.Millisecond
}

func (w *world) pass(most time.Duration) {
	w.now = w.now.Add(w.draw("pass", 0, int(most.Milliseconds())))
}

func (w *world) pick(label string, list []*Store) *Store {
	return list[rapid.IntRange(0, len(list)-1).Draw(w.t, label)]
}

// step plays one event.
func (w *world) step() {
	w.pass(200 * time.Millisecond)
	switch rapid.SampledFrom([]string{"change", "read", "exchange", "serve", "deliver", "lose", "repeat", "restart"}).Draw(w.t, "event") {
	case "change":
		w.change(rapid.SampledFrom(modelLists).Draw(w.t, "list"))
	case "read":
		w.read(w.pick("reader", w.readers), rapid.SampledFrom(modelLists).Draw(w.t, "list"))
	case "exchange":
		other := rapid.IntRange(1, len(w.readers)-1).Draw(w.t, "other")
		w.ask(w.readers[other], w.readers[0])
		w.ask(w.readers[0], w.readers[other])
	case "serve":
		w.ask(w.pick("entry", w.entries), w.pick("reader", w.readers))
	case "deliver":
		if i := w.message(); i >= 0 {
			m := w.inFlight[i]
			w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
			w.deliver(m)
		}
	case "repeat":
		if i := w.message(); i >= 0 {
			w.deliver(w.inFlight[i])
		}
	case "lose":
		if i := w.message(); i >= 0 {
			w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
		}
	case "restart":
		st := w.pick("restarted", append(append([]*Store{}, w.readers...), w.entries...))
		*st = *NewStore()
		clear(w.readAt[st])
	}
}

func (w *world) message() int {
	if len(w.inFlight) == 0 {
		return -1
	}
	return rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "message")
}

// settle lets every VM ask once more, without faults.
func (w *world) settle() {
	w.inFlight = nil
	exchange := func(to, from *Store) {
		w.ask(to, from)
		w.deliver(w.inFlight[0])
		w.inFlight = nil
	}
	w.now = w.now.Add(time.Second)
	last := len(w.readers) - 1
	for _, name := range modelLists {
		w.read(w.readers[last], name)
	}
	exchange(w.readers[0], w.readers[last])
	for _, r := range w.readers[1:] {
		exchange(r, w.readers[0])
	}
	for _, e := range w.entries {
		exchange(e, w.pick("reader", w.readers))
	}
}

// Guards against an entry VM that keeps an old list after a lost difference, and
// against one that takes a runner up again that had left: replies are lost,
// repeated, overtaken and answered by other control VMs, and VMs restart.
func TestStoresEndWithTheNewestListsAndNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			w.step()
		}
		w.settle()
		for i, st := range append(append([]*Store{}, w.readers...), w.entries...) {
			for _, name := range modelLists {
				set, _ := st.Get(name)
				if set == nil || set.Digest() != NewSet(w.truth[name]).Digest() {
					t.Fatalf("store %d does not hold the newest %s", i, name)
				}
			}
		}
	})
}
