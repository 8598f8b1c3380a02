package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["stale-list"] = playStaleList }

// playStaleList replaces two of six engines by new ones: the new ones are listed as
// ready, the old ones as draining, and the old ones end a while later. In trouble,
// the one control VM that reads the platform's list is killed a moment before, and
// is back after downFor. Rule DRAIN: no chat may reach an old engine later than
// drain_ms after the list has shown that it drains, and later than contact_ms after
// the kill.
func playStaleList(s *system, trouble bool) (broken bool, err error) {
	const (
		engines     = 6
		replaced    = 2
		chatters    = 48
		events      = 50
		gap         = 75 * time.Millisecond
		drainTime   = 4 * time.Second
		contactTime = 4 * time.Second
		// downFor is the longest time for which the site's days leave killed
		// control VMs down.
		downFor = 7 * time.Second
		// lingerTime is how long an old engine serves from the moment when it is
		// listed as draining.
		lingerTime = drainTime + 2*time.Second
	)
	book := &chatBook{s: s, sent: map[string]*chatEntry{}}
	start := func(host int, id string) (*runner, error) {
		e := &engine{rec: s.rec, events: events, gap: gap}
		serve := func(c *runnerConn, r *http.Request, body []byte) error {
			book.begin(r.Header.Get("X-Attempt-Id"), id)
			return e.chat(c, r, body)
		}
		var err error
		e.runner, err = s.addRunner(host, id, "huvo11a", 64, serve)
		return e.runner, err
	}
	var old []*runner
	for n := range engines {
		x, err := start(141+n, fmt.Sprintf("i-old-%d", n))
		if err != nil {
			return false, err
		}
		if n < replaced {
			old = append(old, x)
		}
	}
	for n := 1; n <= controlVMs; n++ {
		if err := s.list.listenFor(n, s.addr(200+n, s.ports.list)); err != nil {
			return false, err
		}
	}
	if err := s.startServing(3, chatDocument(7)); err != nil {
		return false, err
	}
	// Every control VM becomes a voter, and the VMs are in touch.
	time.Sleep(10 * time.Second)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for n := range chatters {
		traffic.Go(func() { book.send(n, stop) })
		time.Sleep(events * gap / chatters)
	}
	time.Sleep(3 * time.Second)
	reader := s.reader()
	if reader == nil {
		return false, errors.New("no control VM has read the list")
	}
	s.rec.say("platform: %s reads the list", reader.name)
	killedAt := time.Now()
	if trouble {
		reader.kill()
		s.rec.say("platform: %s is killed", reader.name)
	}
	for n, x := range old {
		if _, err := start(151+n, fmt.Sprintf("i-new-%d", n)); err != nil {
			return false, err
		}
		s.list.setState(x.id, "draining")
		s.rec.say("platform: i-new-%d is listed as ready, %s as draining", n, x.id)
		time.AfterFunc(lingerTime, func() {
			x.end()
			s.list.remove(x.id)
			s.rec.say("platform: %s has ended", x.id)
		})
	}
	drainingAt := time.Now()
	time.Sleep(time.Until(killedAt.Add(downFor)))
	for _, v := range s.control {
		s.rec.say("platform: %s last read the list at %.3f s", v.name, s.list.lastRead(v.host).Sub(s.rec.began).Seconds())
	}
	for n := range old {
		s.rec.say("i-new-%d has begun %d chats so far", n, book.begun(fmt.Sprintf("i-new-%d", n)))
	}
	if trouble {
		if err := reader.start(); err != nil {
			return false, err
		}
		s.rec.say("platform: %s starts again", reader.name)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	traffic.Wait()
	limit := drainingAt.Add(drainTime)
	if contact := killedAt.Add(contactTime); contact.After(limit) {
		limit = contact
	}
	late, cut, whole := book.judge(old, limit)
	s.rec.say("%d chats reached an old engine later than %v after it was listed as draining; %d chats were cut when it ended; %d chats were served", late, drainTime, cut, whole)
	if whole == 0 {
		return false, errors.New("no chat was served")
	}
	return late > 0, nil
}

// reader returns the control VM that has read the list last.
func (s *system) reader() *vm {
	var last *vm
	for _, v := range s.control {
		at := s.list.lastRead(v.host)
		if !at.IsZero() && (last == nil || at.After(s.list.lastRead(last.host))) {
			last = v
		}
	}
	return last
}

// chatBook records chats, the engines that begin them and how they end. It is safe
// for concurrent use.
type chatBook struct {
	s *system

	mu   sync.Mutex
	sent map[string]*chatEntry
}

type chatEntry struct {
	sentAt time.Time
	engine string
	answer *answer
}

// send sends one chat after the other to one entry VM.
func (b *chatBook) send(n int, stop <-chan struct{}) {
	v := b.s.entries[n%len(b.s.entries)]
	c := &client{addr: b.s.addr(v.host, b.s.ports.callers)}
	defer c.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.IntN(300)) * time.Millisecond):
		}
		k := adviceCall(newID(), 1)
		delete(k.header, "X-Pieces")
		delete(k.header, "X-Piece-Key")
		// No two chats share a part of the prompt, so that they spread over the engines.
		k.header["X-Prompt-Prefix"] = k.id[:8] + ":800," + k.id[8:] + ":660"
		entry := &chatEntry{sentAt: time.Now()}
		b.mu.Lock()
		b.sent[k.id] = entry
		b.mu.Unlock()
		a := c.do(k)
		b.mu.Lock()
		entry.answer = a
		b.mu.Unlock()
		b.s.rec.say("client %d: chat %s at %s gets %v", n, k.id, v.name, a)
	}
}

// begin records that an engine begins a chat.
func (b *chatBook) begin(id, engine string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.sent[id]; e != nil {
		e.engine = engine
	}
}

// begun counts the chats that an engine has begun.
func (b *chatBook) begun(engine string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, e := range b.sent {
		if e.engine == engine {
			count++
		}
	}
	return count
}

// judge counts the chats that were sent after the limit and begun by an old engine,
// those that were cut at one, and those with a whole answer.
func (b *chatBook) judge(old []*runner, limit time.Time) (late, cut, whole int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, e := range b.sent {
		isWhole := e.answer != nil && e.answer.status == http.StatusOK && e.answer.err == nil
		if isWhole {
			whole++
		}
		for _, x := range old {
			if e.engine != x.id {
				continue
			}
			if !isWhole {
				cut++
				b.s.rec.say("chat %s, sent %.3f s after the limit, was cut at %s", id, e.sentAt.Sub(limit).Seconds(), x.id)
			}
			if e.sentAt.After(limit) {
				late++
				b.s.rec.say("BROKEN: chat %s, sent %.3f s after the limit, is run by %s", id, e.sentAt.Sub(limit).Seconds(), x.id)
			}
		}
	}
	return late, cut, whole
}
