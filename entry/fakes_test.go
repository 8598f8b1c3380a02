package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/machine"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/wire"
)

// fakeControl is a Control with one in-memory state machine and no replication.
type fakeControl struct {
	mu      sync.Mutex
	machine *machine.Machine
	index   uint64
	// unreachable makes Propose and Renew fail.
	unreachable bool
	// onApply is called with each applied command and its result.
	onApply func(c *command.Command, r *command.Result)
}

var errUnreachable = errors.New("the control VM is unreachable")

func newFakeControl() *fakeControl {
	return &fakeControl{machine: machine.New(), onApply: func(*command.Command, *command.Result) {}}
}

func (f *fakeControl) Propose(_ context.Context, _ ids.GroupID, c command.Command) (command.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		return command.Result{}, errUnreachable
	}
	c.NowUnixMS = time.Now().UnixMilli()
	raw, err := command.Encode(&c)
	if err != nil {
		return command.Result{}, err
	}
	f.index++
	r := f.machine.Apply(f.index, raw)
	f.onApply(&c, &r)
	return r, nil
}

func (f *fakeControl) Renew(_ context.Context, r wire.Renew) (wire.RenewReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		return wire.RenewReply{}, errUnreachable
	}
	info, ok := f.machine.Session(r.Session)
	if !ok || info.EndedUnixMS != 0 {
		return wire.RenewReply{SessionEnded: true}, nil
	}
	tree := f.machine.Tree()
	changes, _ := tree.Since(r.SettingsVersion)
	return wire.RenewReply{OK: true, TermMS: 3000, Version: tree.Version(), Changes: changes}, nil
}

func (f *fakeControl) Locate(_ context.Context, session ids.SessionID) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	info, _ := f.machine.Session(session)
	return info.Callers, nil
}

func (f *fakeControl) setUnreachable(unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable = unreachable
}

// applyDocument proposes a settings change from a YAML document.
func (f *fakeControl) applyDocument(id, doc string) command.Result {
	f.mu.Lock()
	tree := f.machine.Tree()
	f.mu.Unlock()
	ops, err := settings.ParseDocument("test.yaml", []byte(doc), tree)
	if err != nil {
		panic(err)
	}
	change := &settings.Change{ID: id, Operator: "test", Base: tree.Version(), Ops: ops}
	r, err := f.Propose(context.Background(), ids.SettingsGroup, command.Command{Change: change})
	if err != nil {
		panic(err)
	}
	return r
}

// fakeRecorder keeps audit records in memory.
type fakeRecorder struct {
	mu      sync.Mutex
	records map[ids.RequestID][]audit.Record
}

func newFakeRecorder() *fakeRecorder {
	return &fakeRecorder{records: make(map[ids.RequestID][]audit.Record)}
}

func (f *fakeRecorder) Begin(_ context.Context, r audit.Record) error { return f.Append(r) }

func (f *fakeRecorder) Append(r audit.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records[r.Request] = append(f.records[r.Request], r)
	return nil
}

func (f *fakeRecorder) Flush(context.Context) error { return nil }

// recordsOf returns the records of one request.
func (f *fakeRecorder) recordsOf(id string) []audit.Record {
	request, err := ids.ParseRequestID(id)
	if err != nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]audit.Record(nil), f.records[request]...)
}

// discardRecorder is a Recorder that drops all records.
type discardRecorder struct{}

func (discardRecorder) Begin(context.Context, audit.Record) error { return nil }
func (discardRecorder) Append(audit.Record) error                 { return nil }
func (discardRecorder) Flush(context.Context) error               { return nil }
