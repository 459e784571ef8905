package operator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/report/burn"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/ticket"
)

// A fakeOperatorAPI counts its calls and returns verdict and err.
type fakeOperatorAPI struct {
	err     error
	verdict deck.TicketVerdict
	calls   int
}

var _ deck.OperatorAPI = (*fakeOperatorAPI)(nil)

// ApplyTicket implements deck.OperatorAPI.ApplyTicket.
func (s *fakeOperatorAPI) ApplyTicket(_ context.Context, t deck.Ticket) (deck.TicketAnswer, error) {
	s.calls++
	return deck.TicketAnswer{Number: t.Number, Verdict: s.verdict, Reason: "because"}, s.err
}

// ChangeReplica implements deck.OperatorAPI.ChangeReplica.
func (s *fakeOperatorAPI) ChangeReplica(context.Context, deck.ReplicaChange) error {
	s.calls++
	return s.err
}

// Overview implements deck.OperatorAPI.Overview.
func (s *fakeOperatorAPI) Overview(context.Context) (deck.Overview, error) {
	s.calls++
	return deck.Overview{}, s.err
}

// TicketStatus implements deck.OperatorAPI.TicketStatus.
func (s *fakeOperatorAPI) TicketStatus(context.Context, uint64) (deck.TicketStatus, error) {
	s.calls++
	return deck.TicketStatus{}, s.err
}

func serve(t *testing.T, s deck.OperatorAPI) *httptest.Server {
	t.Helper()
	h := &Handler{
		API:        s,
		BurnReport: func() burn.Report { return burn.Report{} },
		Ready:      func() Readiness { return Readiness{Ready: true} },
		Metrics:    http.NotFoundHandler(),
	}
	srv := httptest.NewServer(h.Mux())
	t.Cleanup(srv.Close)
	return srv
}

// send returns the status and the body of a response. It fails the test if the connection breaks, as after a panic of the
// handler.
func send(t *testing.T, srv *httptest.Server, method, path, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, srv.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := srv.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

// TestBadInputIsRefused guards against invalid input that reaches the system, breaks the connection or gets an unclear error.
func TestBadInputIsRefused(t *testing.T) {
	tests := map[string]struct {
		method, path, body string
		code               int
		want               string
	}{
		"ticket empty":             {"POST", "/operator/tickets", "", 400, `{"error":"ticket: EOF`},
		"ticket not JSON":          {"POST", "/operator/tickets", "number: 1", 400, `{"error":"ticket: invalid character`},
		"ticket cut":               {"POST", "/operator/tickets", `{"number":1,`, 400, "unexpected EOF"},
		"ticket not an object":     {"POST", "/operator/tickets", `[]`, 400, "cannot unmarshal array"},
		"ticket nested too deeply": {"POST", "/operator/tickets", `{"models":` + strings.Repeat("[", 1<<20), 400, "max depth"},
		"ticket unknown field":     {"POST", "/operator/tickets", `{"modles":[]}`, 400, `unknown field \"modles\"`},
		"ticket wrong type":        {"POST", "/operator/tickets", `{"number":"1"}`, 400, "cannot unmarshal string"},
		"ticket negative number":   {"POST", "/operator/tickets", `{"number":-1}`, 400, "cannot unmarshal number -1"},
		"ticket bad class":         {"POST", "/operator/tickets", `{"models":[{"class":"x"}]}`, 400, "expected interactive or batch"},
		"ticket twice":             {"POST", "/operator/tickets", `{"number":1}{"number":2}`, 400, "expected one ticket"},
		"ticket oversized":         {"POST", "/operator/tickets", strings.Repeat(" ", ticket.MaxBytes+1), 413, "expected at most 4194304 bytes"},
		"tickets wrong method":     {"PUT", "/operator/tickets", `{"number":1}`, 405, "Method Not Allowed"},
		"number not whole":         {"GET", "/operator/tickets/1.5", "", 400, "expected a whole number"},
		"number negative":          {"GET", "/operator/tickets/-1", "", 400, "expected a whole number"},
		"number too large":         {"GET", "/operator/tickets/18446744073709551616", "", 400, "expected a whole number"},
		"number of 4,000 digits":   {"GET", "/operator/tickets/" + strings.Repeat("9", 4000), "", 400, "expected a whole number"},
		"number wrong method":      {"DELETE", "/operator/tickets/1", "", 405, "Method Not Allowed"},
		"state wrong method":       {"POST", "/operator/state", "{}", 405, "Method Not Allowed"},
		"replica empty":            {"POST", "/operator/replicas", "", 400, "replica change: EOF"},
		"replica not JSON":         {"POST", "/operator/replicas", "add", 400, "invalid character"},
		"replica unknown field":    {"POST", "/operator/replicas", `{"vm":"a"}`, 400, `unknown field \"vm\"`},
		"replica unknown action":   {"POST", "/operator/replicas", `{"action":"expel"}`, 400, "expected add, promote or remove"},
		"replica without name":     {"POST", "/operator/replicas", `{"action":"add"}`, 400, "expected vm and incarnation"},
		"replica bad incarnation":  {"POST", "/operator/replicas", `{"action":"add","replica":{"vm":"a","incarnation":"x"}}`, 400, "hexadecimal"},
		"replica twice":            {"POST", "/operator/replicas", `{"action":"add","replica":{"vm":"a","incarnation":"1"}} {}`, 400, "expected one change"},
		"replica oversized":        {"POST", "/operator/replicas", strings.Repeat(" ", maxChangeBytes+1), 413, "expected at most 65536 bytes"},
		"replicas wrong method":    {"GET", "/operator/replicas", "", 405, "Method Not Allowed"},
		"burn wrong method":        {"POST", "/operator/burn", "{}", 405, "Method Not Allowed"},
		"livez wrong method":       {"POST", "/livez", "", 405, "Method Not Allowed"},
		"readyz wrong method":      {"POST", "/readyz", "", 405, "Method Not Allowed"},
		"metrics wrong method":     {"POST", "/metrics", "", 405, "Method Not Allowed"},
		"unknown path":             {"GET", "/operator/nothing", "", 404, "404 page not found"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &fakeOperatorAPI{}
			srv := serve(t, s)
			code, body := send(t, srv, tt.method, tt.path, tt.body)
			t.Log(body)
			is.Equal(code, tt.code)
			is.True(strings.Contains(body, tt.want))
			is.Equal(s.calls, 0)
			code, _ = send(t, srv, "GET", "/livez", "")
			is.Equal(code, http.StatusOK)
		})
	}
}

// TestSystemFailuresAreReported guards against a failed call of the system that is reported as a success or a refusal.
func TestSystemFailuresAreReported(t *testing.T) {
	tests := map[string]struct {
		method, path, body string
		code               int
	}{
		"apply":   {"POST", "/operator/tickets", `{"number":1}`, 503},
		"ticket":  {"GET", "/operator/tickets/1", "", 503},
		"state":   {"GET", "/operator/state", "", 503},
		"replica": {"POST", "/operator/replicas", `{"action":"add","replica":{"vm":"a","incarnation":"1"}}`, 409},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := serve(t, &fakeOperatorAPI{err: errors.New("no majority")})
			code, body := send(t, srv, tt.method, tt.path, tt.body)
			is.Equal(code, tt.code)
			is.Equal(body, `{"error":"no majority"}`+"\n")
		})
	}
}

// TestVerdictRoundTrip guards against a verdict that gets a wrong status code or that the client decodes as another one.
func TestVerdictRoundTrip(t *testing.T) {
	codes := map[deck.TicketVerdict]int{
		deck.TicketAccepted: 200, deck.TicketRefused: 422, deck.TicketConflict: 409, deck.TicketSuperseded: 409,
	}
	for v, want := range codes {
		t.Run(v.String(), func(t *testing.T) {
			is := is.New(t)
			srv := serve(t, &fakeOperatorAPI{verdict: v})
			code, _ := send(t, srv, "POST", "/operator/tickets", `{"number":7}`)
			is.Equal(code, want)
			a, err := Client{Address: srv.Listener.Addr().String()}.ApplyTicket(t.Context(), deck.Ticket{Number: 7})
			is.NoErr(err)
			is.Equal(a, deck.TicketAnswer{Number: 7, Verdict: v, Reason: "because"})
		})
	}
}

// TestClientRejectsForeignResponses guards against a client that takes a response for a result although another server, such as
// a proxy, sent it.
func TestClientRejectsForeignResponses(t *testing.T) {
	tests := map[string]struct {
		code       int
		body, want string
	}{
		"plain text error": {503, "too many requests at once", "status 503"},
		"empty error":      {500, "", "status 500"},
		"not JSON":         {200, "<html>", "invalid character"},
		"unknown verdict":  {200, `{"verdict":"perhaps"}`, `unknown verdict "perhaps"`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.code)
				_, _ = io.WriteString(w, tt.body)
			}))
			t.Cleanup(srv.Close)
			_, err := Client{Address: srv.Listener.Addr().String()}.ApplyTicket(t.Context(), deck.Ticket{Number: 1})
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
}
