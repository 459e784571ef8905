package caller

import (
	"encoding/json"
	"net/http"
	"time"
)

// writeTimeout is how long a caller may take no data before it counts as gone.
const writeTimeout = 30 * time.Second

// writeResponse writes a whole response within the write timeout. net/http removes the deadline after the response.
func writeResponse(w http.ResponseWriter, status int, body []byte) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)) // test recorders have none
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that left needs no answer
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	writeResponse(w, status, mustMarshal(v))
}

// mustMarshal encodes a value that JSON can express.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
