package standin

import (
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/standin/content"
)

// Engine simulates an OpenAI-compatible model engine with continuous batching,
// a prefix cache and a queue by priority. A step loop gives each running
// sequence one token per step; a step takes longer the more sequences run and
// the more uncached prompt tokens are prefilled in it.
type Engine struct {
	*core
	options EngineOptions
	orders  *orderBook

	mu      sync.Mutex
	wake    *sync.Cond
	closed  bool
	arrival uint64
	queue   []*sequence
	batch   []*sequence
	cache   *prefixCache
}

// NewEngine makes an engine and starts its step loop. Close ends it.
func NewEngine(o EngineOptions) *Engine {
	e := newEngine(o)
	go e.run()
	return e
}

// newEngine makes an engine whose steps are not yet taken.
func newEngine(o EngineOptions) *Engine {
	o.setDefaults()
	e := &Engine{
		core:    newCore(o.Common),
		options: o,
		cache:   newPrefixCache(o.CacheBlocks, o.EventGap),
	}
	e.wake = sync.NewCond(&e.mu)
	e.crashed = e.forget
	e.orders = newOrderBook(e)
	e.work("POST /v1/chat/completions", e.serveChat)
	e.mux.HandleFunc("POST /v1/cancel/{request}/{stage}/{attempt}", e.serveCancel)
	e.mux.HandleFunc("GET /cache/events", e.serveEvents)
	e.mux.HandleFunc("POST /orders", e.orders.serveOrder)
	e.mux.HandleFunc("GET /state", e.orders.serveState)
	e.mux.HandleFunc("GET /kv/{id}", e.serveExport)
	e.mux.HandleFunc("PUT /kv/{id}", e.serveImport)
	return e
}

// Close ends the step loop and the work in progress.
func (e *Engine) Close() {
	e.core.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.wake.Broadcast()
}

// submit queues a sequence. It is false if the queue is full.
func (e *Engine) submit(s *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) >= e.options.MaxWaiting {
		return false
	}
	e.arrival++
	s.arrival = e.arrival
	e.queue = append(e.queue, s)
	e.updateLoad()
	e.wake.Signal()
	return true
}

// run is the step loop.
func (e *Engine) run() {
	for {
		running, prefill, ok := e.plan()
		if !ok {
			return
		}
		if running == 0 {
			continue
		}
		e.pause(noContext, e.scaled(e.stepTime(running, prefill)))
		e.emit()
	}
}

// plan waits for work, forms the batch of the next step and gives its size
// and the number of prompt tokens to prefill. It is false when the engine has
// been closed.
func (e *Engine) plan() (running, prefill int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for !e.closed && len(e.queue) == 0 && len(e.batch) == 0 {
		e.wake.Wait()
	}
	if e.closed {
		return 0, 0, false
	}
	e.dropEnded()
	for len(e.batch) < e.options.MaxBatch && len(e.queue) > 0 {
		prefill += e.admit(e.dequeue())
	}
	e.updateLoad()
	return len(e.batch), prefill, true
}

func (e *Engine) stepTime(running, prefill int) time.Duration {
	return e.options.StepBase +
		time.Duration(running-1)*e.options.StepPerSequence +
		time.Duration(prefill)*e.options.PrefillPerToken
}

// dropEnded removes sequences that nobody waits for.
func (e *Engine) dropEnded() {
	queue := e.queue[:0]
	for _, s := range e.queue {
		if !s.ended() {
			queue = append(queue, s)
		}
	}
	clear(e.queue[len(queue):])
	e.queue = queue
	batch := e.batch[:0]
	for _, s := range e.batch {
		if s.ended() {
			e.journal.update(func(c *Counters) { c.Cancelled++ })
			continue
		}
		batch = append(batch, s)
	}
	clear(e.batch[len(batch):])
	e.batch = batch
}

// dequeue takes the sequence of the highest priority off the queue.
func (e *Engine) dequeue() *sequence {
	best := 0
	for i, s := range e.queue {
		if s.before(e.queue[best]) {
			best = i
		}
	}
	s := e.queue[best]
	e.queue = append(e.queue[:best], e.queue[best+1:]...)
	return s
}

// admit adds a sequence to the batch, where its execution begins, and gives
// the prompt tokens to prefill. The tokens before the resume offset belong to
// the prompt.
func (e *Engine) admit(s *sequence) int {
	cached := min(e.cache.match(s.chain)*content.BlockTokens, s.prompt)
	prefill := s.prompt - cached + s.resume
	s.cached = cached
	e.cache.store(s.chain, e.Now())
	e.batch = append(e.batch, s)
	e.journal.begin(s.attempt)
	e.journal.update(func(c *Counters) {
		c.PrefillTokens += int64(prefill)
		c.CachedTokens += int64(cached)
	})
	return prefill
}

// emit sends each sequence of the batch its next token.
func (e *Engine) emit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := e.batch[:0]
	for _, s := range e.batch {
		if s.next < len(s.tokens) {
			s.out <- s.tokens[s.next]
			s.next++
			e.countToken(s)
		}
		if s.next < len(s.tokens) {
			batch = append(batch, s)
			continue
		}
		close(s.out)
		e.journal.update(func(c *Counters) { c.Finished++ })
	}
	clear(e.batch[len(batch):])
	e.batch = batch
	e.updateLoad()
}

func (e *Engine) countToken(s *sequence) {
	gone := s.ended()
	e.journal.update(func(c *Counters) {
		c.Tokens++
		if gone {
			c.TokensAfterGone++
		}
	})
}

// updateLoad brings the load report up to date.
func (e *Engine) updateLoad() {
	running, waiting := len(e.batch), len(e.queue)
	used := len(e.cache.blocks)
	for _, s := range e.batch {
		used += s.next / content.BlockTokens
	}
	percent := min(100, 100*float64(used)/float64(e.options.CacheBlocks))
	e.load.change(func(l *loadSample) {
		l.running, l.waiting, l.kvUsed = running, waiting, percent
	})
}

// cancel stops the sequence of an attempt. It is false if there is none.
func (e *Engine) cancel(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, list := range [][]*sequence{e.queue, e.batch} {
		for _, s := range list {
			if s.attempt == attempt && !s.stopped {
				s.stopped = true
				close(s.cancelled)
				return true
			}
		}
	}
	return false
}

// forget ends all sequences and empties the cache, as the end of the process
// does. No event tells of it.
func (e *Engine) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, list := range [][]*sequence{e.queue, e.batch} {
		for _, s := range list {
			if !s.stopped {
				s.stopped = true
				close(s.cancelled)
			}
		}
	}
	e.cache.clear()
	e.updateLoad()
}
