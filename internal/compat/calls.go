package compat

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"

	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/controlplane"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/messaging"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/gossip"
	"coursepass/internal/gossip/peers"
	"coursepass/internal/transport"
)

// calls are the requests and answers of all procedures between daemons. Procedures that
// share an answer share its label.
var calls = map[string]any{
	"consensus-batch-request":    messaging.MessageBatch{},
	"consensus-batch-answer":     messaging.MessageBatchResponse{},
	"join-request":               controlplane.JoinRequest{},
	"join-answer":                controlplane.MembershipResponse{},
	"operation-forward-request":  controlplane.ControlRequest{},
	"operation-forward-answer":   controlplane.ControlResponse{},
	"log-heads-request":          controlapi.HeadsRequest{},
	"log-heads-answer":           controlapi.HeadsResponse{},
	"replica-copies-request":     controlapi.SnapshotOffer{},
	"acknowledgement":            controlapi.SnapshotOfferResponse{},
	"engine-failure-request":     controlapi.FailureReport{},
	"engine-failure-answer":      controlapi.RetryDecision{},
	"idempotency-claims-request": controlapi.ReservationsRequest{},
	"idempotency-claims-answer":  controlapi.ReservationsResponse{},
	"idempotency-key-request":    router.KeyOutcomeRequest{},
	"idempotency-key-answer":     router.KeyOutcomeResponse{},
	"engine-suspicion-request":   router.Suspect{},
	"membership-shuffle":         peers.ShuffleMessage{},
	"gossip-push-request":        gossip.PushRequest{},
	"gossip-digest":              gossip.Digest{},
	"gossip-compare-answer":      gossip.DigestResponse{},
}

// consensusKinds are the kinds of messages between the replicas of a log.
var consensusKinds = map[string]consensus.MessageKind{
	"elect":             consensus.MsgElection,
	"prepare":           consensus.MsgPrepare,
	"promise":           consensus.MsgPromise,
	"append":            consensus.MsgAppend,
	"appended":          consensus.MsgAppendResponse,
	"recovery-request":  consensus.MsgRecoveryRequest,
	"recovery-answer":   consensus.MsgRecoveryResponse,
	"confirm":           consensus.MsgConfirmLeadership,
	"snapshot-request":  consensus.MsgFetchRequest,
	"snapshot-piece":    consensus.MsgFetchResponse,
	"promise-position":  consensus.MsgPromisePositionOnly,
	"recovery-position": consensus.MsgRecoveryPositionOnly,
}

// electionKinds are the kinds of messages of the leader election.
var electionKinds = map[string]election.MessageKind{
	"ok": election.OK, "start": election.START, "alert": election.ALERT, "ping": election.PING, "pong": election.PONG,
}

func callSamples() []Sample {
	samples := append(gobPrototypes(calls), gobPrototypes(controlplane.WirePrototypes())...)
	for label, kind := range consensusKinds {
		samples = append(samples, consensusSample("consensus-"+label, func(message *consensus.Message) { message.Kind = kind }))
	}
	for label, kind := range electionKinds {
		samples = append(samples, consensusSample("election-"+label, func(message *consensus.Message) {
			message.Kind, message.Election.Kind = consensus.MsgElection, kind
		}))
	}
	return append(samples, codecSample())
}

// consensusSample is a batch with one message of a kind.
func consensusSample(label string, set func(*consensus.Message)) Sample {
	batch := &messaging.MessageBatch{}
	Fill(batch)
	batch.Messages = batch.Messages[:1]
	set(&batch.Messages[0])
	return gobMessage(label, batch)
}

// codecSample is a message as one daemon sends it first in full and then in short.
func codecSample() Sample {
	return Sample{
		Label: "codec-full-then-short", Format: Binary, Describe: describeCodecs,
		Encode: func() ([]byte, error) {
			full, short, err := transport.WireForms(filled(controlapi.HeadsRequest{}))
			return append(binary.BigEndian.AppendUint32(nil, uint32(len(full))), append(full, short...)...), err
		},
	}
}

// splitCodecs parts the sample of the codecs into its two messages.
func splitCodecs(data []byte) (full, short []byte, err error) {
	const lengthSize = 4
	if len(data) < lengthSize || uint64(len(data)-lengthSize) < uint64(binary.BigEndian.Uint32(data)) {
		return nil, nil, fmt.Errorf("the sample of the codecs is too short")
	}
	end := lengthSize + int(binary.BigEndian.Uint32(data))
	return data[lengthSize:end], data[end:], nil
}

// describeCodecs describes both messages. The short one begins with the hash of the type
// definitions; since those contain names and ids of types, its value may differ, but it
// must be that of the definitions in the full message.
func describeCodecs(data []byte) (string, error) {
	full, short, err := splitCodecs(data)
	if err != nil {
		return "", err
	}
	stream, err := readGobStream(full)
	if err != nil {
		return "", err
	}
	value := stream.values[0].data
	hashed := fnv.New64a()
	if len(short) < hashed.Size() {
		return "", fmt.Errorf("the short message is too short")
	}
	rest := short[hashed.Size():]
	if !bytes.HasSuffix(full, rest) || !bytes.HasSuffix(rest, value) {
		return "", fmt.Errorf("the short message does not end as the full one")
	}
	_, _ = hashed.Write(full[:len(full)-len(rest)])
	if !bytes.Equal(hashed.Sum(nil), short[:hashed.Size()]) {
		return "", fmt.Errorf("the short message does not begin with the hash of the definitions")
	}
	return DescribeGob(full)
}
