package compat

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"slices"

	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/controlplane"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/membership"
	"coursepass/internal/controlplane/messaging"
	"coursepass/internal/dataplane/httpapi"
	"coursepass/internal/dataplane/placement"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/gossip"
	"coursepass/internal/gossip/peers"
	"coursepass/internal/transport"
	"coursepass/internal/usage"
)

// calls are the requests and responses of all remote procedures between daemons, by label.
// Procedures that share a response share its label.
var calls = map[string]any{
	"consensus-batch-request":    messaging.MessageBatch{},
	"consensus-batch-answer":     messaging.MessageBatchResponse{},
	"join-request":               membership.JoinRequest{},
	"join-answer":                membership.MembershipResponse{},
	"operation-forward-request":  controlplane.ControlRequestWire{},
	"operation-forward-answer":   controlplane.ControlResponseWire{},
	"log-heads-request":          controlapi.HeadsRequest{},
	"log-heads-answer":           controlapi.HeadsResponse{},
	"replica-copies-request":     controlapi.SnapshotOffer{},
	"acknowledgement":            controlapi.SnapshotOfferResponse{},
	"engine-failure-request":     controlapi.FailureReport{},
	"engine-failure-answer":      controlapi.RetryDecision{},
	"idempotency-claims-request": controlapi.ReservationsRequest{},
	"idempotency-claims-answer":  controlapi.ReservationsResponse{},
	"idempotency-key-request":    httpapi.KeyOutcomeRequest{},
	"idempotency-key-answer":     httpapi.KeyOutcomeResponse{},
	"usage-report-request":       usage.Report{},
	"usage-report-answer":        controlapi.UsageReportResponse{},
	"usage-digests-request":      controlapi.UsageDigestsRequest{},
	"usage-digests-answer":       controlapi.UsageDigestsResponse{},
	"usage-counts-request":       controlapi.UsageCountsRequest{},
	"usage-counts-answer":        controlapi.UsageCountsResponse{},
	"engine-suspicion-request":   router.Suspect{},
	"placement-request":          placement.Query{},
	"placement-answer":           placement.Answer{},
	"engine-report-request":      placement.EngineReport{},
	"engine-report-answer":       placement.EngineReportAnswer{},
	"membership-shuffle":         peers.ShuffleMessage{},
	"gossip-push-request":        gossip.PushRequest{},
	"gossip-digest":              gossip.Digest{},
	"gossip-compare-answer":      gossip.DigestResponse{},
}

// consensusKinds are the kinds of messages between the replicas of a log, by label.
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

// electionKinds are the kinds of messages of the leader election, by label.
var electionKinds = map[string]election.MessageKind{
	"ok":    election.OK,
	"start": election.START,
	"alert": election.ALERT,
	"ping":  election.PING,
	"pong":  election.PONG,
}

// callSamples returns the messages of all remote procedures, and those of consensus and
// election by kind.
func callSamples() []Sample {
	samples := append(gobPrototypes(calls), gobPrototypes(controlplane.WirePrototypes())...)
	for label, kind := range consensusKinds {
		sample := consensusSample("consensus-"+label, func(message *consensus.Message) { message.Kind = kind })
		samples = append(samples, sample)
	}
	for label, kind := range electionKinds {
		sample := consensusSample("election-"+label, func(message *consensus.Message) {
			message.Kind = consensus.MsgElection
			message.Election.Kind = kind
		})
		samples = append(samples, sample)
	}
	return append(samples, codecSample())
}

// consensusSample returns a batch with one filled message, which set gives its kind.
func consensusSample(label string, set func(*consensus.Message)) Sample {
	batch := filled(messaging.MessageBatch{}).(*messaging.MessageBatch)
	batch.Messages = batch.Messages[:1]
	set(&batch.Messages[0])
	return gobMessage(label, batch)
}

var errShortCodecSample = errors.New("the sample of the codecs is too short")

// codecLengthSize is the size of the length before the first message of the codec sample.
const codecLengthSize = 4

// codecSample is a message in the two forms that a connection sends: in full the first time,
// with the definitions of its types, and in short after that. The length of the full form
// stands before it.
func codecSample() Sample {
	return Sample{
		Label:    "codec-full-then-short",
		Format:   Binary,
		Describe: describeCodecs,
		Encode: func() ([]byte, error) {
			full, short, err := transport.WireForms(filled(controlapi.HeadsRequest{}))
			length := binary.BigEndian.AppendUint32(nil, uint32(len(full)))
			return slices.Concat(length, full, short), err
		},
	}
}

// splitCodecs splits the codec sample into its two messages.
func splitCodecs(data []byte) (full, short []byte, err error) {
	if len(data) < codecLengthSize {
		return nil, nil, errShortCodecSample
	}
	length, messages := uint64(binary.BigEndian.Uint32(data)), data[codecLengthSize:]
	if uint64(len(messages)) < length {
		return nil, nil, errShortCodecSample
	}
	return messages[:length], messages[length:], nil
}

// describeCodecs describes both messages. The short one begins with the hash of the type
// definitions. Since those contain names and ids of types, the hash may differ between builds,
// but it must be that of the definitions in the full message.
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
	hash := fnv.New64a()
	if len(short) < hash.Size() {
		return "", errors.New("the short message is too short")
	}
	rest := short[hash.Size():]
	if !bytes.HasSuffix(full, rest) || !bytes.HasSuffix(rest, value) {
		return "", errors.New("the short message does not end as the full one")
	}
	_, _ = hash.Write(full[:len(full)-len(rest)]) // A hash never fails to write.
	if !bytes.Equal(hash.Sum(nil), short[:hash.Size()]) {
		return "", errors.New("the short message does not begin with the hash of the definitions")
	}
	return DescribeGob(full)
}
