package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"sync"
)

// OrderKind names what an order asks for.
type OrderKind string

// Kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
	SetVersion  OrderKind = "set_version"
	SetRole     OrderKind = "set_role"
)

// Order is the body of POST /orders.
type Order struct {
	Kind          OrderKind `json:"kind"`
	Model         string    `json:"model,omitempty"`
	Adapter       string    `json:"adapter,omitempty"`
	Version       string    `json:"version,omitempty"`
	Role          string    `json:"role,omitempty"`
	FencingToken  uint64    `json:"fencing_token"`
	ExpiresUnixMS int64     `json:"expires_unix_ms"`
}

// EngineState is the body of GET /state.
type EngineState struct {
	Models   []string          `json:"models"`
	Adapters []string          `json:"adapters"`
	Loading  []string          `json:"loading"`
	Versions map[string]string `json:"versions"`
	Role     string            `json:"role"`
	// FencingToken is the highest token seen.
	FencingToken uint64 `json:"fencing_token"`
}

// orderBook holds what an engine was ordered to be.
type orderBook struct {
	engine *Engine
	// any accepts every model name.
	any bool

	mu       sync.Mutex
	models   map[string]bool // true when loaded, false while loading
	adapters map[string]bool
	versions map[string]string
	role     string
	token    uint64
}

func newOrderBook(e *Engine) *orderBook {
	b := &orderBook{
		engine:   e,
		any:      len(e.options.Models) == 0,
		models:   map[string]bool{},
		adapters: map[string]bool{},
		versions: map[string]string{},
		role:     e.options.Role,
	}
	for _, m := range e.options.Models {
		b.models[m] = true
	}
	for _, a := range e.options.Adapters {
		b.adapters[a] = true
	}
	return b
}

// missing says why a call for a model and an adapter can't be served, or "".
func (b *orderBook) missing(model, adapter string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if model != "" && !b.any && !b.models[model] {
		return "the model " + model + " is not loaded"
	}
	if adapter != "" && !b.adapters[adapter] {
		return "the adapter " + adapter + " is not loaded"
	}
	return ""
}

// State returns the present models, adapters, versions and role of the engine.
func (e *Engine) State() EngineState { return e.orders.state() }

func (b *orderBook) state() EngineState {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := EngineState{Versions: map[string]string{}, Role: b.role, FencingToken: b.token, Loading: []string{}}
	s.Models = split(b.models, &s.Loading)
	s.Adapters = split(b.adapters, &s.Loading)
	for m, v := range b.versions {
		s.Versions[m] = v
	}
	sort.Strings(s.Loading)
	return s
}

// split returns the loaded names and adds the others to loading.
func split(names map[string]bool, loading *[]string) []string {
	loaded := []string{}
	for name, ok := range names {
		if ok {
			loaded = append(loaded, name)
		} else {
			*loading = append(*loading, name)
		}
	}
	sort.Strings(loaded)
	return loaded
}

func (b *orderBook) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, b.state())
}

func (b *orderBook) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		errorResponse(http.StatusBadRequest, "bad_order", err.Error()).write(w)
		return
	}
	if now := b.engine.Now().UnixMilli(); o.ExpiresUnixMS != 0 && now > o.ExpiresUnixMS {
		b.refuse(w, http.StatusGone, "order_expired", "the order has expired")
		return
	}
	if !b.fence(o.FencingToken) {
		b.refuse(w, http.StatusConflict, "old_fencing_token", "a higher fencing token was seen")
		return
	}
	if message := b.execute(o); message != "" {
		errorResponse(http.StatusBadRequest, "bad_order", message).write(w)
		return
	}
	writeJSON(w, http.StatusAccepted, b.state())
}

func (b *orderBook) refuse(w http.ResponseWriter, status int, kind, message string) {
	b.engine.journal.update(func(c *Counters) { c.RefusedOrders++ })
	w.Header().Set(HeaderNotExecuted, "true")
	errorResponse(status, kind, message).write(w)
}

// fence records the token. It is false if the order must be rejected.
func (b *orderBook) fence(token uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if token >= b.token {
		b.token = token
		return true
	}
	if b.engine.options.ChecksFencing {
		return false
	}
	b.engine.journal.update(func(c *Counters) { c.StaleOrders++ })
	return true
}

// execute starts the order, or says what is wrong with it.
func (b *orderBook) execute(o Order) string {
	switch {
	case o.Kind == LoadModel && o.Model != "":
		b.load(b.models, o.Model, b.engine.options.ModelBytes)
	case o.Kind == LoadAdapter && o.Adapter != "":
		b.load(b.adapters, o.Adapter, b.engine.options.AdapterBytes)
	case o.Kind == SetVersion && o.Model != "" && o.Version != "":
		b.mu.Lock()
		b.versions[o.Model] = o.Version
		b.mu.Unlock()
	case o.Kind == SetRole && o.Role != "":
		b.mu.Lock()
		b.role = o.Role
		b.mu.Unlock()
	default:
		return "the order's kind is not known or its fields are not set"
	}
	return ""
}

// load draws and loads a model or an adapter in the background.
func (b *orderBook) load(names map[string]bool, name string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := names[name]; ok {
		return
	}
	names[name] = false
	go func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		err := b.engine.draw(ctx, name, bytes)
		if err == nil && !b.engine.pause(ctx, b.engine.scaled(b.engine.options.LoadTime)) {
			err = context.Canceled
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		if err != nil {
			delete(names, name)
			return
		}
		names[name] = true
	}()
}
