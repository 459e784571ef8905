package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/httpresponse"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/replication"
)

const (
	maxReplicaErrorBytes = 4 << 10 // of an error response that is quoted in an error
	replicaDialTimeout   = 300 * time.Millisecond
	replicaIdleTimeout   = 10 * time.Second // short, since a connection may have lost its state on the network path
)

// defaultReplicaClient uses no proxy because peers are addressed by IP.
var defaultReplicaClient = &http.Client{Transport: &httpresponse.Transport{Base: http.Transport{
	DialContext:     (&net.Dialer{Timeout: replicaDialTimeout}).DialContext,
	IdleConnTimeout: replicaIdleTimeout,
}}}

// A ReplicaClient sends messages to other replicas over HTTP.
type ReplicaClient struct {
	// Address returns the host:port of a VM's peers' listener; ok is false if it is unknown.
	Address func(vm deck.VMName) (address string, ok bool)

	// Client sends the requests; nil selects a client that all ReplicaClients share.
	Client *http.Client

	// Answers sends answers in HTTP responses that wait for them. Receiver receives the answers that arrive in HTTP responses.
	// Either may be nil. Set them before the first message is sent.
	Answers  *ReplicaAnswers
	Receiver deck.ReplicaReceiver
}

var _ deck.ReplicaTransport = (*ReplicaClient)(nil)

// Send implements deck.ReplicaTransport.Send. It sends an answer in a waiting HTTP response if there is one.
func (c *ReplicaClient) Send(ctx context.Context, m deck.ReplicaMessage) error {
	if c.Answers.deliver(m) {
		return nil
	}
	address, ok := c.Address(m.To.VM)
	if !ok {
		return errors.Newf("no address for VM %s", m.To.VM)
	}
	body, err := replication.EncodeMessage(m)
	if err != nil {
		return errors.Wrap(err, "encode replica message")
	}
	url := "http://" + address + replicaPath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "send message to replica")
	}
	return c.do(ctx, req)
}

func (c *ReplicaClient) do(ctx context.Context, req *http.Request) error {
	client := c.Client
	if client == nil {
		client = defaultReplicaClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send message to replica")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplicaMessageBytes))
	if err != nil {
		return errors.Wrap(err, "read response of replica")
	}
	switch resp.StatusCode {
	case http.StatusAccepted:
		return nil
	case http.StatusOK:
		return c.receive(ctx, body)
	default:
		return errors.Newf("replica refused message with status %d: %s",
			resp.StatusCode, bytes.TrimSpace(body[:min(len(body), maxReplicaErrorBytes)]))
	}
}

func (c *ReplicaClient) receive(ctx context.Context, body []byte) error {
	if c.Receiver == nil {
		return nil
	}
	m, err := replication.DecodeMessage(body)
	if err != nil {
		return errors.Wrap(err, "decode answer of replica")
	}
	return c.Receiver.Receive(ctx, m)
}
