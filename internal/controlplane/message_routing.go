package controlplane

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/messaging"
	"coursepass/internal/transport"
)

// sendMessage sends a message to another server. It uses the context of Run: a message that results from a call must
// still be sent after the call has ended.
func (s *Server) sendMessage(message consensus.Message) {
	address := message.Address
	if address == "" {
		address = s.shards[message.Shard].Membership().Members[message.To].Address
	}
	if address != "" && address != s.self.Address {
		s.senderFor(address).Send(s.runContext, message)
	}
}

// senderFor returns the sender for an address. It creates and starts the sender on first use.
func (s *Server) senderFor(address string) *messaging.Sender {
	s.lock.Lock()
	defer s.lock.Unlock()
	sender, exists := s.senders[address]
	if exists {
		return sender
	}
	sender = messaging.NewSender(messaging.Options{
		Transport: s.internalTransport,
		Clock:     s.clock,
		Counters:  &s.messageCounters,
		Self:      s.self,
		Address:   address,
		Delta:     s.DeltaDuration(),
		OnEcho: func(sentAt clock.Microseconds, echo consensus.Echo) {
			if echo.Shard >= 0 && echo.Shard < len(s.shards) {
				s.shards[echo.Shard].ReceiveEcho(s.runContext, sentAt, address, echo)
			}
		},
		OnIdentity: func(identity string) {
			for _, shard := range s.shards {
				shard.ObserveIdentity(s.runContext, address, identity)
			}
		},
	})
	s.senders[address] = sender
	go sender.Run(s.runContext)
	return sender
}

// membersSupport reports whether the builds of all other members of a shard are known to support the features.
func (s *Server) membersSupport(shard int, features messaging.Features) bool {
	var others []string
	for _, member := range s.shards[shard].Membership().Members {
		if member.Address != "" && member.Address != s.self.Address {
			others = append(others, member.Address)
		}
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return messaging.KnownByAll(s.senders, others, features)
}

func (s *Server) registerMessageHandler() {
	transport.Handle(s.internalTransport, messaging.DeliverPath, func(
		ctx context.Context, request *messaging.MessageBatch,
	) (*messaging.MessageBatchResponse, error) {
		return s.handleMessages(ctx, request), nil
	})
}

// handleMessages passes the messages of a batch to the replicas. It drops election messages that are older than δ or of
// unknown age, because the timing of the election assumes that no older message is processed.
func (s *Server) handleMessages(ctx context.Context, batch *messaging.MessageBatch) *messaging.MessageBatchResponse {
	s.meter.SetDaemonZone(batch.Sender.Address, batch.Sender.Zone)
	now := s.clock.Now()
	response := &messaging.MessageBatchResponse{
		Incarnation: s.Incarnation,
		Clock:       now,
		Features:    messaging.KnownFeatures,
		Identity:    s.self.Identity,
	}
	age, ageKnown := batch.Age(now, s.Incarnation)
	isLate := !ageKnown || age > s.DeltaDuration()
	for _, message := range batch.Messages {
		if message.Shard < 0 || message.Shard >= len(s.shards) {
			s.internalTransport.MalformedRequests.Add(1)
			continue
		}
		shard := s.shards[message.Shard]
		echo, isMember := shard.Echo()
		if isMember && message.RequestsEcho() {
			response.Echoes = append(response.Echoes, echo)
		}
		switch {
		case message.Kind == consensus.MsgConfirmLeadership:
			// The message requests only the echo.
		case message.Kind == consensus.MsgElection && isLate:
			s.LateElectionMessages.Add(1)
		default:
			s.ReceivedMessages.Add(1)
			message.Sender = batch.Sender
			shard.Receive(ctx, message)
		}
	}
	return response
}
