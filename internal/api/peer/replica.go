package peer

import (
	"context"
	"io"
	"net/http"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/replication"
)

const (
	replicaPath = "/peer/replica"

	// maxReplicaMessageBytes is enough for a batch or chunk of 512 KB, or one larger command, in base64 with its JSON keys.
	maxReplicaMessageBytes = 2 << 20
)

// RegisterReplica registers the handler of POST /peer/replica, which passes messages to the receiver. If answers is nil, the
// receiver's answers are never sent in HTTP responses.
func RegisterReplica(mux *http.ServeMux, r deck.ReplicaReceiver, answers *ReplicaAnswers) {
	mux.HandleFunc("POST "+replicaPath, func(w http.ResponseWriter, req *http.Request) {
		serveReplica(w, req, r, answers)
	})
}

func serveReplica(w http.ResponseWriter, req *http.Request, receiver deck.ReplicaReceiver, answers *ReplicaAnswers) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxReplicaMessageBytes))
	if err != nil {
		http.Error(w, "body is incomplete or too large", http.StatusRequestEntityTooLarge)
		return
	}
	m, err := replication.DecodeMessage(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var waiter chan deck.ReplicaMessage
	if answers != nil && !m.Kind.IsAnswer() {
		waiter = answers.addWaiter(m.From.VM)
		defer answers.removeWaiter(m.From.VM, waiter)
	}
	if err := receiver.Receive(req.Context(), m); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if waiter == nil {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	writeReplicaAnswer(req.Context(), w, m.From.VM, answers, waiter)
}

func writeReplicaAnswer(
	ctx context.Context, w http.ResponseWriter, vm deck.VMName, answers *ReplicaAnswers, waiter chan deck.ReplicaMessage,
) {
	m, ok := answers.wait(ctx, vm, waiter)
	if !ok {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	data, err := replication.EncodeMessage(m)
	if err != nil {
		w.WriteHeader(http.StatusAccepted) // the sender repeats messages that get no answer
		return
	}
	_, _ = w.Write(data)
}
