package simulation_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/outbox"
	"coursepass/internal/state/registry"
)

const (
	outboxSeeds          = 100
	outboxFaultTime      = 25 * clock.Second
	outboxClientInterval = 70 * clock.Millisecond
	// outboxCheckTimeout bounds the search for an order, which decides most histories in milliseconds.
	outboxCheckTimeout = time.Minute
)

// outboxSubjects are the subjects that the clients write; all but the last retain each entry.
var outboxSubjects = []outbox.Subject{{Kind: "usage", Name: "a"}, {Kind: "usage", Name: "b"}, {Kind: "capacity"}}

// outboxInputKind is a kind of operation on an outbox.
type outboxInputKind int

const (
	outboxDraft outboxInputKind = iota
	outboxDone
	outboxRead
)

// outboxInput is an operation on the entries of one subject.
type outboxInput struct {
	kind    outboxInputKind
	subject int
	number  uint64
}

// outboxOutput is its result. That of an operation whose outcome is unknown may be anything.
type outboxOutput struct {
	unknown bool
	code    errcode.Code
	pending string
}

// subjectModel is the sequential specification of one subject: the highest accepted number, and the numbers of the
// pending entries in order.
type subjectModel struct {
	highest uint64
	pending string
}

// numbersText joins numbers as a model holds them.
func numbersText(numbers []uint64) string { return strings.Trim(fmt.Sprint(numbers), "[]") }

// pendingNumbers are the numbers of a model's pending entries.
func (s subjectModel) pendingNumbers() []uint64 {
	var numbers []uint64
	for _, field := range strings.Fields(s.pending) {
		var number uint64
		_, _ = fmt.Sscan(field, &number) // The model wrote it.
		numbers = append(numbers, number)
	}
	return numbers
}

// apply reports whether an operation may have the output, and returns the model after it.
func (s subjectModel) apply(input outboxInput, output outboxOutput) (bool, subjectModel) {
	switch input.kind {
	case outboxDraft:
		if input.number <= s.highest {
			return output.unknown || output.code == errcode.EntryNumberTaken, s
		}
		pending := s.pendingNumbers()
		if input.subject == len(outboxSubjects)-1 {
			pending = nil
		}
		after := subjectModel{highest: input.number, pending: numbersText(append(pending, input.number))}
		return output.unknown || output.code == errcode.OK, after
	case outboxDone:
		remaining := slices.DeleteFunc(s.pendingNumbers(), func(number uint64) bool { return number <= input.number })
		return true, subjectModel{highest: s.highest, pending: numbersText(remaining)}
	default:
		return output.unknown || output.pending == s.pending, s
	}
}

// outboxModel checks each subject by itself.
func outboxModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			partitions := make([][]porcupine.Operation, len(outboxSubjects))
			for _, operation := range history {
				subject := operation.Input.(outboxInput).subject
				partitions[subject] = append(partitions[subject], operation)
			}
			return partitions
		},
		Init: func() any { return subjectModel{} },
		Step: func(state, input, output any) (bool, any) {
			return state.(subjectModel).apply(input.(outboxInput), output.(outboxOutput))
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
	}
}

// outboxClients drives the servers of a soak as leaders' tasks do, and records what they see.
type outboxClients struct {
	*simulation.Soak
	history []porcupine.Operation
	// drafted are the highest numbers that were drafted, by subject.
	drafted [3]uint64
}

// begin records the start of an operation, and returns the function that records its output.
func (o *outboxClients) begin(input outboxInput) func(outboxOutput) {
	index := len(o.history)
	o.history = append(o.history, porcupine.Operation{
		ClientId: index,
		Input:    input,
		Call:     int64(o.Now()),
		Output:   outboxOutput{unknown: true},
		Return:   math.MaxInt64,
	})
	return func(output outboxOutput) {
		o.history[index].Output, o.history[index].Return = output, int64(o.Now())
	}
}

// step has a random server draft an entry, mark some as done, or read the pending ones.
func (o *outboxClients) step() {
	server := o.Servers[o.Random.IntN(len(o.Servers))]
	input := outboxInput{kind: outboxInputKind(o.Random.IntN(3)), subject: o.Random.IntN(len(outboxSubjects))}
	subject := outboxSubjects[input.subject]
	switch input.kind {
	case outboxDraft:
		// Two leaders may draft the same number, or one that is lower than an accepted one.
		o.drafted[input.subject] += uint64(o.Random.IntN(3))
		input.number = max(o.drafted[input.subject], 2) - uint64(o.Random.IntN(2))
		retention := outbox.RetainEach
		if input.subject == len(outboxSubjects)-1 {
			retention = outbox.RetainLatest
		}
		entry := outbox.Entry{Subject: subject, Number: input.number, Retention: retention, Payload: []byte("body")}
		o.propose(server, input, outbox.Operation{Drafts: []outbox.Entry{entry}})
	case outboxDone:
		input.number = uint64(o.Random.IntN(int(o.drafted[input.subject]) + 1))
		o.propose(server, input, outbox.Operation{Done: []outbox.Mark{{Subject: subject, Number: input.number}}})
	default:
		server.BeginExtendedRead(func() func(consensus.StateMachine) {
			finish := o.begin(input)
			return func(state consensus.StateMachine) {
				var numbers []uint64
				for _, entry := range state.(*registry.State).Outbox.Pending {
					if entry.Subject == subject {
						numbers = append(numbers, entry.Number)
					}
				}
				finish(outboxOutput{pending: numbersText(numbers)})
			}
		})
	}
}

func (o *outboxClients) propose(server *simulation.Server, input outboxInput, operation outbox.Operation) {
	server.ProposeExtended(operation.Encode(), func() func([]byte) {
		finish := o.begin(input)
		return func(response []byte) {
			output := outboxOutput{}
			if result, err := outbox.DecodeResult(response); err != nil || len(result.Codes) > 1 {
				o.ReportViolation("response %x: %v", response, err)
			} else if len(result.Codes) == 1 {
				output.code = result.Codes[0]
			}
			finish(output)
		}
	})
}

// known counts the operations of a kind whose outcome is known.
func (o *outboxClients) known(kind outboxInputKind, code errcode.Code) int {
	count := 0
	for _, operation := range o.history {
		output := operation.Output.(outboxOutput)
		if operation.Input.(outboxInput).kind == kind && !output.unknown && output.code == code {
			count++
		}
	}
	return count
}

// Leaders draft entries, mark them as done and read the pending ones while servers crash, freeze, lose their disks and
// are partitioned. All that they have seen is explained by one outbox: an entry is accepted once, numbers only rise,
// and what is pending is what was accepted and is not done, also after a restart from a snapshot.
func TestOutboxHistories_AreLinearizable(t *testing.T) {
	accepted, taken, read, unknown := 0, 0, 0, 0
	for seed := range uint64(outboxSeeds) {
		soak := simulation.NewExtendedSoak(seed, func() consensus.StateMachine { return registry.NewState() })
		clients := &outboxClients{Soak: soak}
		soak.Every(outboxClientInterval, func() bool {
			clients.step()
			return true
		})
		for _, violation := range soak.Run(outboxFaultTime) {
			t.Errorf("seed %d: %s", seed, violation)
		}
		verdict := porcupine.CheckOperationsTimeout(outboxModel(), clients.history, outboxCheckTimeout)
		if verdict != porcupine.Ok {
			t.Errorf("seed %d: %s\n%s", seed, verdict, soak.Report())
		}
		accepted += clients.known(outboxDraft, errcode.OK)
		taken += clients.known(outboxDraft, errcode.EntryNumberTaken)
		read += clients.known(outboxRead, errcode.OK)
		unknown += len(clients.history)
		for _, kind := range []outboxInputKind{outboxDraft, outboxDone, outboxRead} {
			unknown -= clients.known(kind, errcode.OK) + clients.known(kind, errcode.EntryNumberTaken)
		}
	}
	t.Logf("%d drafts accepted, %d numbers taken, %d reads, %d outcomes unknown", accepted, taken, read, unknown)
	if accepted == 0 || taken == 0 || read == 0 || unknown == 0 {
		t.Error("some outcome was never seen")
	}
}

// The model must reject what no outbox may do.
func TestOutboxModel_RejectsWrongHistories(t *testing.T) {
	type step struct {
		input  outboxInput
		output outboxOutput
	}
	draft := func(number uint64, code errcode.Code) step {
		return step{outboxInput{kind: outboxDraft, number: number}, outboxOutput{code: code}}
	}
	done := func(number uint64) step { return step{outboxInput{kind: outboxDone, number: number}, outboxOutput{}} }
	read := func(pending string) step { return step{outboxInput{kind: outboxRead}, outboxOutput{pending: pending}} }
	for name, testCase := range map[string]struct {
		steps []step
		legal bool
	}{
		"accepted, read, done":           {[]step{draft(1, errcode.OK), draft(3, errcode.OK), read("1 3"), done(1), read("3")}, true},
		"a number accepted twice":        {[]step{draft(2, errcode.OK), draft(2, errcode.OK)}, false},
		"a lower number accepted":        {[]step{draft(2, errcode.OK), draft(1, errcode.OK)}, false},
		"a higher number taken":          {[]step{draft(2, errcode.OK), draft(3, errcode.EntryNumberTaken)}, false},
		"an accepted entry is missing":   {[]step{draft(2, errcode.OK), read("")}, false},
		"an entry that is done is back":  {[]step{draft(2, errcode.OK), done(2), read("2")}, false},
		"entries in another order":       {[]step{draft(1, errcode.OK), draft(2, errcode.OK), read("2 1")}, false},
		"a later entry is done before":   {[]step{draft(1, errcode.OK), draft(2, errcode.OK), done(1), read("1")}, false},
		"a number is free after restart": {[]step{draft(2, errcode.OK), done(2), draft(2, errcode.OK)}, false},
	} {
		var history []porcupine.Operation
		for index, step := range testCase.steps {
			history = append(history, porcupine.Operation{
				ClientId: 0,
				Input:    step.input,
				Call:     int64(2 * index),
				Output:   step.output,
				Return:   int64(2*index + 1),
			})
		}
		if legal := porcupine.CheckOperations(outboxModel(), history); legal != testCase.legal {
			t.Errorf("%s: legal %t", name, legal)
		}
	}
}
