package simulation_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"coursepass/internal/errcode"
)

// register is the state that operators change: a label with its content, which is replaced by
// compare-and-set on the label that a change builds on, and the zones that are evacuated.
type register struct {
	revision, label uint64
	// acceptedChanges are all accepted labels with their contents, in order.
	acceptedChanges string
	evacuatedZones  string
}

// historyInput is the request of one operation of a history.
type historyInput struct {
	kind        inputKind
	label       uint64
	parentLabel uint64
	content     string
	zone        string
}

// inputKind is a kind of operation.
type inputKind string

const (
	inputChange   inputKind = "change"
	inputEvacuate inputKind = "evacuate"
	inputReturn   inputKind = "return"
	inputRead     inputKind = "read"
	// inputRouterRead is a ready router's configuration; it may be as old as the freshness bound.
	inputRouterRead inputKind = "router"
)

// historyOutput is the result of an operation. One whose outcome is unknown may take effect at any time
// after its start, or never.
type historyOutput struct {
	unknown        bool
	rejected       bool
	revision       uint64
	label          uint64
	content        string
	evacuatedZones string
}

// changeKey returns the text of a change in acceptedChanges.
func (h historyInput) changeKey() string { return fmt.Sprintf("|%d:%s|", h.label, h.content) }

// apply is the sequential specification of the register: it reports whether an operation may have the
// output, and returns the register after it.
func (r register) apply(input historyInput, output historyOutput) (bool, register) {
	switch input.kind {
	case inputRead:
		expected := historyOutput{
			revision:       r.revision,
			label:          r.label,
			content:        r.content(),
			evacuatedZones: r.evacuatedZones,
		}
		return output == expected, r
	case inputRouterRead:
		return output.revision == r.revision && output.evacuatedZones == r.evacuatedZones, r
	case inputChange:
		return r.applyChange(input, output)
	case inputEvacuate, inputReturn:
		return r.applyEvacuation(input, output)
	default:
		return false, r
	}
}

// applyEvacuation evacuates a zone or ends that.
func (r register) applyEvacuation(input historyInput, output historyOutput) (bool, register) {
	if output.rejected {
		// A concurrent change may have it rejected, but not if it would change nothing.
		return r.isEvacuated(input.zone) != (input.kind == inputEvacuate), r
	}
	after := r
	after.revision++
	zones := slices.DeleteFunc(strings.Fields(r.evacuatedZones), func(zone string) bool { return zone == input.zone })
	if input.kind == inputEvacuate {
		zones = append(zones, input.zone)
	}
	slices.Sort(zones)
	after.evacuatedZones = strings.Join(zones, " ")
	return output.unknown || output.revision == after.revision, after
}

func (r register) isEvacuated(zone string) bool {
	return slices.Contains(strings.Fields(r.evacuatedZones), zone)
}

func (r register) content() string {
	last := r.acceptedChanges[strings.LastIndex(r.acceptedChanges, ":")+1:]
	return strings.TrimSuffix(last, "|")
}

// applyChange applies a change of the label, which takes effect if it builds on the present one. One that
// was accepted before is acknowledged again, whatever has been accepted since.
func (r register) applyChange(input historyInput, output historyOutput) (bool, register) {
	repeated := strings.Contains(r.acceptedChanges, input.changeKey())
	fits := r.label == input.parentLabel
	if repeated || !fits {
		return output.unknown || output.rejected != repeated && (output.rejected || output.revision == r.revision), r
	}
	after := r
	after.revision++
	after.label = input.label
	after.acceptedChanges += input.changeKey()
	return output.unknown || !output.rejected && output.revision == after.revision, after
}

func registerModel(first register) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return first },
		Step: func(state, input, output any) (bool, any) {
			return state.(register).apply(input.(historyInput), output.(historyOutput))
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
	}
}

// history is what operators and polls of routers have seen, in virtual time.
type history struct {
	lock         sync.Mutex
	initialState register
	operations   []porcupine.Operation
	codeCounts   map[errcode.Code]int
	trace        []string
}

func (h *history) recordOperation(client int, startedAt, endedAt time.Time, input historyInput, output historyOutput) {
	end := endedAt.UnixMicro()
	if output.unknown {
		end = math.MaxInt64
	}
	h.recordUntil(client, startedAt, end, input, output)
}

// recordUntil records an operation that took effect by a time, if it ever does.
func (h *history) recordUntil(client int, startedAt time.Time, end int64, input historyInput, output historyOutput) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client,
		Input:    input,
		Call:     startedAt.UnixMicro(),
		Output:   output,
		Return:   end,
	})
}

func (h *history) countCode(code errcode.Code) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.codeCounts[code]++
}

// checkLinearizable reports whether the history is linearizable, or that the timeout was reached.
func (h *history) checkLinearizable(timeout time.Duration) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(registerModel(h.initialState), h.operations, timeout)
}

// TestRegisterModel checks that the model rejects histories that are not linearizable, and accepts others.
//
//nolint:funlen // a table of histories
func TestRegisterModel(t *testing.T) {
	begin := time.UnixMicro(0)
	type operation struct {
		startedAt, endedAt time.Duration
		input              historyInput
		output             historyOutput
	}
	put := func(label, on uint64, content string) historyInput {
		return historyInput{kind: inputChange, label: label, parentLabel: on, content: content}
	}
	one, other, next := put(1, 0, "a"), put(1, 0, "b"), put(2, 1, "c")
	read := historyInput{kind: inputRead}
	for name, testCase := range map[string]struct {
		linearizable bool
		operations   []operation
	}{
		"a repeated change is acknowledged again": {
			linearizable: true,
			operations: []operation{
				{0, 1, one, historyOutput{revision: 1}},
				{2, 3, next, historyOutput{revision: 2}},
				{4, 5, one, historyOutput{revision: 2}},
			},
		},
		"a repeated change is rejected": {
			linearizable: false,
			operations: []operation{
				{0, 1, one, historyOutput{revision: 1}},
				{2, 3, next, historyOutput{revision: 2}},
				{4, 5, one, historyOutput{rejected: true}},
			},
		},
		"two on one label": {
			linearizable: false,
			operations: []operation{
				{0, 5, one, historyOutput{revision: 1}},
				{0, 5, other, historyOutput{revision: 2}},
			},
		},
		"one of two on one label": {
			linearizable: true,
			operations: []operation{
				{0, 5, one, historyOutput{revision: 1}},
				{0, 5, other, historyOutput{rejected: true}},
			},
		},
		"both of two rejected": {
			linearizable: false,
			operations: []operation{
				{0, 5, one, historyOutput{rejected: true}},
				{0, 5, other, historyOutput{rejected: true}},
			},
		},
		"an unknown change took effect": {
			linearizable: true,
			operations: []operation{
				{0, 1, one, historyOutput{unknown: true}},
				{2, 3, read, historyOutput{revision: 1, label: 1, content: "a"}},
			},
		},
		"an unknown change did not": {
			linearizable: true,
			operations: []operation{
				{0, 1, one, historyOutput{unknown: true}},
				{2, 3, read, historyOutput{}},
			},
		},
		"an unknown change was undone": {
			linearizable: false,
			operations: []operation{
				{0, 1, one, historyOutput{unknown: true}},
				{2, 3, read, historyOutput{revision: 1, label: 1, content: "a"}},
				{4, 5, read, historyOutput{}},
			},
		},
		"a read older than an acknowledgement": {
			linearizable: false,
			operations: []operation{
				{0, 1, one, historyOutput{revision: 1}},
				{2, 3, read, historyOutput{}},
			},
		},
		"an evacuation is lost": {
			linearizable: false,
			operations: []operation{
				{0, 1, historyInput{kind: inputEvacuate, zone: "sur"}, historyOutput{revision: 1}},
				{2, 3, read, historyOutput{revision: 1}},
			},
		},
		"an evacuation is rejected": {
			linearizable: true,
			operations: []operation{
				{0, 1, historyInput{kind: inputEvacuate, zone: "sur"}, historyOutput{rejected: true}},
				{2, 3, read, historyOutput{}},
			},
		},
		"a rejected evacuation took effect": {
			linearizable: false,
			operations: []operation{
				{0, 1, historyInput{kind: inputEvacuate, zone: "sur"}, historyOutput{rejected: true}},
				{2, 3, read, historyOutput{revision: 1, evacuatedZones: "sur"}},
			},
		},
		"one that would change nothing is rejected": {
			linearizable: false,
			operations: []operation{
				{0, 1, historyInput{kind: inputReturn, zone: "sur"}, historyOutput{rejected: true}},
			},
		},
		"a router within the bound": {
			linearizable: true,
			operations: []operation{
				{2, 3, one, historyOutput{revision: 1}},
				{1, 4, historyInput{kind: inputRouterRead}, historyOutput{}},
			},
		},
		"a router beyond the bound": {
			linearizable: false,
			operations: []operation{
				{2, 3, one, historyOutput{revision: 1}},
				{4, 5, historyInput{kind: inputRouterRead}, historyOutput{}},
			},
		},
	} {
		recorded := &history{codeCounts: map[errcode.Code]int{}}
		for client, operation := range testCase.operations {
			startedAt := begin.Add(operation.startedAt * time.Second)
			endedAt := begin.Add(operation.endedAt * time.Second)
			recorded.recordOperation(client, startedAt, endedAt, operation.input, operation.output)
		}
		if linearizable := recorded.checkLinearizable(time.Minute) == porcupine.Ok; linearizable != testCase.linearizable {
			t.Errorf("%s: %v", name, linearizable)
		}
	}
}
