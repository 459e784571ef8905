package peer

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/replica"
)

// A recordingReceiver records the messages that it receives and returns receiveErr.
type recordingReceiver struct {
	messages   []deck.ReplicaMessage
	receiveErr error
}

func (b *recordingReceiver) Receive(_ context.Context, m deck.ReplicaMessage) error {
	b.messages = append(b.messages, m)
	return b.receiveErr
}

func newReplicaServer(t *testing.T, b *recordingReceiver) *httptest.Server {
	mux := http.NewServeMux()
	RegisterReplica(mux, b, nil)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server
}

func appendMessage() deck.ReplicaMessage {
	a, b := deck.ReplicaID{VM: "a", Incarnation: 1<<64 - 1}, deck.ReplicaID{VM: "b", Incarnation: 2}
	return deck.ReplicaMessage{
		Kind: deck.MessageAppend, Deployment: "test", From: a, To: b, Term: 3, Index: 4, LogTerm: 2, CommitIndex: 1, Round: 9,
		Entries: []deck.LogEntry{
			{Index: 5, Term: 3, Kind: deck.EntryCommand, Command: []byte("x")},
			{Index: 6, Term: 3, Kind: deck.EntryMembership, Membership: deck.Membership{Voters: []deck.ReplicaID{a, b}}},
		},
	}
}

// Guards against transports that differ in the messages they deliver and the errors they return.
func TestTransportContract(t *testing.T) {
	transports := map[string]func(b *recordingReceiver) deck.ReplicaTransport{
		"http": func(b *recordingReceiver) deck.ReplicaTransport {
			address := strings.TrimPrefix(newReplicaServer(t, b).URL, "http://")
			return &ReplicaClient{Address: func(vm deck.VMName) (string, bool) { return address, vm == "b" }}
		},
		"memory": func(b *recordingReceiver) deck.ReplicaTransport {
			n := &replica.MemoryNetwork{}
			n.Attach("b", b)
			return n
		},
	}
	for name, connect := range transports {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &recordingReceiver{}
			transport := connect(b)
			is.NoErr(transport.Send(t.Context(), appendMessage()))
			is.Equal(b.messages, []deck.ReplicaMessage{appendMessage()})
			unknown := appendMessage()
			unknown.To.VM = "z"
			is.True(transport.Send(t.Context(), unknown) != nil)
			ended, cancel := context.WithCancel(t.Context())
			cancel()
			is.True(errors.Is(transport.Send(ended, appendMessage()), context.Canceled))
			b.receiveErr = deck.ErrLogBusy
			err := transport.Send(t.Context(), appendMessage())
			is.True(err != nil && strings.Contains(err.Error(), deck.ErrLogBusy.Error()))
		})
	}
}

// Guards against request bodies that exhaust memory or reach the log although they can't be decoded.
func TestBadRequestsAreRefused(t *testing.T) {
	tests := map[string]struct {
		method string
		body   string
		status int
	}{
		"too large":       {"POST", `{"kind":"` + strings.Repeat("x", maxReplicaMessageBytes) + `"}`, 413},
		"no JSON":         {"POST", `{`, 400},
		"unknown kind":    {"POST", `{"kind":"x","from":{"incarnation":"1"},"to":{"incarnation":"1"}}`, 400},
		"bad incarnation": {"POST", `{"kind":"vote","from":{"incarnation":"-1"},"to":{"incarnation":"1"}}`, 400},
		"gap in entries": {"POST", `{"kind":"append","from":{"incarnation":"1"},"to":{"incarnation":"1"},"index":1,` +
			`"entries":[{"index":3,"kind":"no-op"}]}`, 400},
		"negative chunk": {"POST", `{"kind":"snapshot","from":{"incarnation":"1"},"to":{"incarnation":"1"},` +
			`"chunk":{"total":-1}}`, 400},
		"wrong method": {"GET", "", 405},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &recordingReceiver{}
			req, err := http.NewRequest(tt.method, newReplicaServer(t, b).URL+replicaPath, strings.NewReader(tt.body))
			is.NoErr(err)
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			resp.Body.Close()
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(len(b.messages), 0)
		})
	}
}
