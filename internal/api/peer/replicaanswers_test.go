package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A fakeReplica sends its answers to each message through its own client, as a replica does.
type fakeReplica struct {
	client  *ReplicaClient
	respond func(m deck.ReplicaMessage) []deck.ReplicaMessage
}

func (a fakeReplica) Receive(ctx context.Context, m deck.ReplicaMessage) error {
	for _, out := range a.respond(m) {
		_ = a.client.Send(ctx, out)
	}
	return nil
}

func reply(m deck.ReplicaMessage, kind deck.ReplicaMessageKind) deck.ReplicaMessage {
	return deck.ReplicaMessage{Kind: kind, Deployment: m.Deployment, From: m.To, To: m.From, Term: m.Term, Round: m.Round}
}

// Guards against answers that are lost, sent twice or held back although an HTTP response waits for them.
func TestAnswersAreSentInHTTPResponses(t *testing.T) {
	message := deck.ReplicaMessage{
		Kind: deck.MessageHeartbeat, Deployment: "d", From: deck.ReplicaID{VM: "a", Incarnation: 1},
		To: deck.ReplicaID{VM: "b", Incarnation: 2}, Term: 3, Round: 4,
	}
	tests := map[string]struct {
		answer             func(m deck.ReplicaMessage) []deck.ReplicaMessage
		inResponse, posted int
	}{
		"one answer": {func(m deck.ReplicaMessage) []deck.ReplicaMessage {
			return []deck.ReplicaMessage{reply(m, deck.MessageHeartbeatAnswer)}
		}, 1, 0},
		"second answer is a message of its own": {func(m deck.ReplicaMessage) []deck.ReplicaMessage {
			return []deck.ReplicaMessage{reply(m, deck.MessageHeartbeatAnswer), reply(m, deck.MessageAppendAnswer)}
		}, 1, 1},
		"a question is no answer": {func(m deck.ReplicaMessage) []deck.ReplicaMessage {
			return []deck.ReplicaMessage{reply(m, deck.MessagePreVote)}
		}, 0, 1},
		"no answer": {func(deck.ReplicaMessage) []deck.ReplicaMessage { return nil }, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			posted, received := &recordingReceiver{}, &recordingReceiver{}
			sender := httptest.NewServer(newReplicaMux(posted, nil))
			defer sender.Close()
			answers := &ReplicaAnswers{}
			answerClient := &ReplicaClient{Address: addressOf(sender), Answers: answers}
			replica := httptest.NewServer(newReplicaMux(fakeReplica{answerClient, tt.answer}, answers))
			defer replica.Close()
			client := &ReplicaClient{Address: addressOf(replica), Receiver: received}
			is.NoErr(client.Send(t.Context(), message))
			is.Equal(len(received.messages), tt.inResponse)
			is.Equal(len(posted.messages), tt.posted)
			is.Equal(len(answers.waiters), 0)
		})
	}
}

func newReplicaMux(r deck.ReplicaReceiver, answers *ReplicaAnswers) http.Handler {
	mux := http.NewServeMux()
	RegisterReplica(mux, r, answers)
	return mux
}

func addressOf(s *httptest.Server) func(deck.VMName) (string, bool) {
	return func(deck.VMName) (string, bool) { return s.Listener.Addr().String(), true }
}
