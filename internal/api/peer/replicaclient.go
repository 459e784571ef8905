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
	"github.com/geraniumdeck/geraniumdeck/internal/wire/replication"
)

const (
	maxReplicaErrorBytes = 4 << 10 // of a peer's refusal
	replicaDialTimeout   = 300 * time.Millisecond
	replicaIdleTimeout   = 10 * time.Second // a connection that lost its state on the network path is not kept for long
)

// defaultReplicaClient uses no proxy, because peers are reached by their IP addresses.
var defaultReplicaClient = &http.Client{Transport: &http.Transport{
	DialContext:     (&net.Dialer{Timeout: replicaDialTimeout}).DialContext,
	IdleConnTimeout: replicaIdleTimeout,
}}

// A ReplicaClient sends messages to other replicas over HTTP.
type ReplicaClient struct {
	// Address returns the host:port of a VM's peers' listener.
	Address func(vm deck.VMName) (address string, ok bool)

	// Client sends the requests; nil for one that is shared by all ReplicaClients.
	Client *http.Client

	// Answers and Receiver take the answers in responses; both may be nil. They are set before the first message.
	Answers  *ReplicaAnswers
	Receiver deck.ReplicaReceiver
}

var _ deck.ReplicaTransport = (*ReplicaClient)(nil)

// Send implements deck.ReplicaTransport.Send.
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
		return errors.Wrap(err, "request to replica")
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
		return errors.Wrap(err, "request to replica")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplicaMessageBytes))
	if err != nil {
		return errors.Wrap(err, "answer of replica")
	}
	switch resp.StatusCode {
	case http.StatusAccepted:
		return nil
	case http.StatusOK:
		return c.receive(ctx, body)
	default:
		return errors.Newf("replica answered %d: %s", resp.StatusCode, bytes.TrimSpace(body[:min(len(body), maxReplicaErrorBytes)]))
	}
}

func (c *ReplicaClient) receive(ctx context.Context, body []byte) error {
	if c.Receiver == nil {
		return nil
	}
	m, err := replication.DecodeMessage(body)
	if err != nil {
		return errors.Wrap(err, "answer of replica")
	}
	return c.Receiver.Receive(ctx, m)
}
