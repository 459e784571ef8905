package command

import (
	"encoding/json"

	"github.com/geraniumdeck/geraniumdeck/internal/wire/ticket"
)

type envelope struct {
	ProposedAtMS int64           `json:"at-ms,omitempty"`
	Command      string          `json:"command"`
	Value        json.RawMessage `json:"value,omitempty"`
}

type applyTicket struct {
	Ticket ticket.Document `json:"ticket"`
}

type beginCall struct {
	Key     string `json:"key"`
	Digest  string `json:"digest"`
	VM      string `json:"vm"`
	ClaimID string `json:"claim"`
}

type finishCall struct {
	Key     string `json:"key"`
	ClaimID string `json:"claim"`
	Answer  Answer `json:"answer"`
}

type reportCrash struct {
	Digest      string   `json:"digest"`
	Backend     string   `json:"backend"`
	BootID      string   `json:"boot-id,omitempty"`
	ReportID    string   `json:"report,omitempty"`
	OnlySuspect bool     `json:"alone,omitempty"`
	Parts       []uint64 `json:"parts,omitempty"`
}

type reportSound struct {
	Part uint64 `json:"part"`
}

// An Answer is the wire form of a plain service's response.
type Answer struct {
	Outcome string            `json:"outcome"`
	Status  int               `json:"status,omitempty"`
	Headers map[string]string `json:"headers,omitempty"`
	Body    []byte            `json:"body,omitempty"`
	Reason  string            `json:"reason,omitempty"`
}

// A TicketAnswer is the wire form of the response to a ticket.
type TicketAnswer struct {
	Number  uint64 `json:"number"`
	Digest  string `json:"digest,omitempty"`
	Verdict string `json:"verdict"`
	Version uint64 `json:"version,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

type result struct {
	Ticket   *TicketAnswer `json:"ticket,omitempty"`
	Claim    string        `json:"claim,omitempty"`
	Answer   *Answer       `json:"answer,omitempty"`
	Recorded bool          `json:"recorded,omitempty"`
	Reason   string        `json:"reason,omitempty"`
}
