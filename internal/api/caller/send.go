package caller

import (
	"encoding/json"
	"net/http"
	"time"
)

// writeTimeout limits how long a write may block on a caller that reads no data; then the caller counts as disconnected.
const writeTimeout = 30 * time.Second

// writeResponse writes a complete response within the write timeout. net/http removes the deadline after the response.
func writeResponse(w http.ResponseWriter, status int, body []byte) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)) // not supported by httptest.ResponseRecorder
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the caller has disconnected
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	writeResponse(w, status, mustMarshal(v))
}

// mustMarshal returns the JSON encoding of v and panics if v has none.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
