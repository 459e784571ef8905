package peer

import (
	"io"
	"net/http"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/replication"
)

const (
	replicaPath = "/peer/replica"

	// maxReplicaBody holds a batch or chunk of 512 KB, or one larger command, in base64 with room for the keys.
	maxReplicaBody = 2 << 20
)

// RegisterReplica serves POST /peer/replica for the receiver.
func RegisterReplica(mux *http.ServeMux, r deck.ReplicaReceiver) {
	mux.HandleFunc("POST "+replicaPath, func(w http.ResponseWriter, req *http.Request) {
		serveReplica(w, req, r)
	})
}

func serveReplica(w http.ResponseWriter, req *http.Request, r deck.ReplicaReceiver) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxReplicaBody))
	if err != nil {
		http.Error(w, "body is incomplete or too large", http.StatusRequestEntityTooLarge)
		return
	}
	m, err := replication.DecodeMessage(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := r.Receive(req.Context(), m); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}
