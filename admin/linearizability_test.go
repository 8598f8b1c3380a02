package admin

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"

	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
)

const (
	testRounds        = 30
	operatorsPerRound = 4
	opsPerOperator    = 8
	maxSends          = 6
)

// input is an operation of an operator: a change, or a read of the version if id
// is empty.
type input struct {
	id   string
	base uint64
}

// output is the reply that the operator received. lost is true if every reply
// was lost.
type output struct {
	lost     bool
	state    settings.ApplyState
	version  uint64
	winner   string
	readFrom string
}

// changeHistoryModel models the settings as the list of accepted change ids, whose
// length is the version. A change is one operation however often it is sent.
func changeHistoryModel() porcupine.Model {
	return porcupine.Model{
		Init:  func() any { return []string(nil) },
		Equal: func(a, b any) bool { return slices.Equal(a.([]string), b.([]string)) },
		Step: func(s, in, out any) (bool, any) {
			ids, i, o := s.([]string), in.(input), out.(output)
			version := uint64(len(ids))
			if i.id == "" {
				return o.version == version && (version == 0 || o.readFrom == ids[version-1]), ids
			}
			if i.base != version {
				return o.lost || (o.state == settings.Conflict && o.winner == ids[i.base]), ids
			}
			next := append(slices.Clone(ids), i.id)
			return o.lost || (o.state == settings.Accepted && o.version == version+1), next
		},
	}
}

// TestLinearizable guards against a change that is applied twice or lost, a
// resend that does not return the change's first result, and a read that misses
// a finished change. Operators send concurrent changes while proposals and
// replies are lost and proposals are applied twice.
func TestLinearizable(t *testing.T) {
	seen := map[settings.ApplyState]int{}
	lost := 0
	for round := range testRounds {
		history := runRound(int64(round))
		for _, op := range history {
			if o := op.Output.(output); o.lost {
				lost++
			} else if o.state != "" {
				seen[o.state]++
			}
		}
		if !porcupine.CheckOperations(changeHistoryModel(), history) {
			t.Fatalf("round %d (seed %d) is not linearizable: %v", round, round, history)
		}
	}
	t.Logf("outcomes %v, lost %d", seen, lost)
	if seen[settings.Accepted] == 0 || seen[settings.Conflict] == 0 {
		t.Fatalf("outcomes %v: the concurrent changes did not produce both an accepted change and a conflict", seen)
	}
}

// runRound runs concurrent operators and returns their combined history. The seed
// determines the sequences of faults and choices, but not the interleaving.
func runRound(seed int64) []porcupine.Operation {
	b := newFakeBackend()
	faults := rand.New(rand.NewSource(seed))
	b.nextOutcome = func() proposalOutcome { return proposalOutcome(faults.Intn(4)) }
	a := newAPI(b)
	var clock atomic.Int64
	var wait sync.WaitGroup
	histories := make([][]porcupine.Operation, operatorsPerRound)
	for n := range operatorsPerRound {
		wait.Go(func() {
			choices := rand.New(rand.NewSource(seed<<8 + int64(n)))
			known := uint64(0)
			for step := range opsPerOperator {
				op := porcupine.Operation{ClientId: n, Call: clock.Add(1)}
				if choices.Intn(3) == 0 {
					op.Input, op.Output = input{}, readVersion(a)
				} else {
					i := input{id: fmt.Sprintf("%d-%d", n, step), base: known}
					op.Input, op.Output = i, sendChange(a, i)
				}
				op.Return = clock.Add(1)
				if o := op.Output.(output); o.lost {
					// The change may be applied at any later time.
					op.Return = 1 << 62
				} else {
					known = max(known, o.version)
				}
				histories[n] = append(histories[n], op)
			}
		})
	}
	wait.Wait()
	return slices.Concat(histories...)
}

// sendChange sends a change, and sends it again with the same id while its
// replies are lost, up to maxSends times in total.
func sendChange(a *API, i input) output {
	body := fmt.Sprintf(`{"id":%q,"base":%d,"ops":[{"kind":"set","key":"workspace.weight","value":"5"}]}`, i.id, i.base)
	for range maxSends {
		var reply json.RawMessage
		status := send(a, "POST", "/v1/changes", "application/json", body, &reply)
		if status == problem.ControlUnavailable.Status() {
			continue
		}
		return decodeOutput(status, reply)
	}
	return output{lost: true}
}

func decodeOutput(status int, reply []byte) output {
	if status == 200 {
		var r ChangeReply
		if err := json.Unmarshal(reply, &r); err != nil {
			panic(err)
		}
		return output{state: r.State, version: r.Version}
	}
	var p problem.Problem
	var winner settings.Change
	if err := json.Unmarshal(reply, &p); err != nil {
		panic(err)
	}
	if p.Reason != problem.VersionConflict {
		return output{state: settings.Invalid}
	}
	if err := json.Unmarshal(p.Winner, &winner); err != nil {
		panic(err)
	}
	return output{state: settings.Conflict, winner: winner.ID, version: winner.Version}
}

func readVersion(a *API) output {
	var h HistoryReply
	send(a, "GET", "/v1/history?limit=1", "", "", &h)
	if len(h.Changes) == 0 {
		return output{}
	}
	return output{version: h.Changes[0].Version, readFrom: h.Changes[0].ID}
}
