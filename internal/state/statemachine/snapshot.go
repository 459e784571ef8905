package statemachine

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/blame"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/ticket"
)

// A snapshotDocument is the JSON form of a snapshot. Its lists are sorted or in queue order.
type snapshotDocument struct {
	NowMS         int64                  `json:"now-ms"`
	State         json.RawMessage        `json:"state"`
	Accepted      []acceptedDocument     `json:"accepted,omitempty"`
	Refusals      []command.TicketAnswer `json:"refusals,omitempty"` // oldest first
	LastSet       []lastSetDocument      `json:"last-set,omitempty"`
	Running       []recordDocument       `json:"running,omitempty"` // oldest first
	Ended         []recordDocument       `json:"ended,omitempty"`   // oldest first
	Released      []releasedDocument     `json:"released,omitempty"`
	Serial        uint64                 `json:"serial,omitempty"`
	Poison        []poisonDocument       `json:"poison,omitempty"`
	PoisonChanged uint64                 `json:"poison-changed,omitempty"`
	PoisonParts   []poisonPartDocument   `json:"poison-parts,omitempty"`
}

type acceptedDocument struct {
	Number  uint64 `json:"number"`
	Digest  string `json:"digest"`
	Version uint64 `json:"version"`
	AtMS    int64  `json:"at-ms"`
}

type lastSetDocument struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Number uint64 `json:"number"`
}

type recordDocument struct {
	Key    string          `json:"key"`
	Serial uint64          `json:"serial"`
	Claim  string          `json:"claim"`
	AtMS   int64           `json:"at-ms"`
	Digest string          `json:"digest,omitempty"`
	VM     string          `json:"vm,omitempty"`
	Status string          `json:"status,omitempty"`
	Answer *command.Answer `json:"answer,omitempty"`
}

type releasedDocument struct {
	Claim string `json:"claim"`
	AtMS  int64  `json:"at-ms"`
}

type poisonDocument struct {
	Digest  string          `json:"digest"`
	UntilMS int64           `json:"until-ms"`
	Crashes []crashDocument `json:"crashes"`
}

type poisonPartDocument struct {
	Part    uint64              `json:"part"`
	UntilMS int64               `json:"until-ms"`
	Crashes []partCrashDocument `json:"crashes"`
}

type partCrashDocument struct {
	ID       string   `json:"id"`
	AtMS     int64    `json:"at-ms"`
	Requests []uint64 `json:"requests"`
}

type crashDocument struct {
	Backend string `json:"backend"`
	ID      string `json:"id"`
	Alone   bool   `json:"alone,omitempty"`
}

// Snapshot implements deck.StateMachine.Snapshot. The encoding is deterministic: equal states have equal snapshots.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	d := snapshotDocument{
		NowMS:         toUnixMillis(m.now),
		State:         ticket.EncodeState(m.tickets.state),
		PoisonChanged: m.poison.changedIndex,
	}
	m.tickets.save(&d)
	m.calls.save(&d)
	m.poison.save(&d)
	data, err := json.Marshal(d)
	return data, errors.Wrap(err, "machine snapshot")
}

// Restore implements deck.StateMachine.Restore. A snapshot that can't be decoded leaves the state unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	var d snapshotDocument
	if err := json.Unmarshal(snapshot, &d); err != nil {
		return errors.Wrap(err, "machine snapshot")
	}
	t, err := loadTickets(d)
	if err != nil {
		return err
	}
	c, err := loadCalls(d)
	if err != nil {
		return err
	}
	m.mu.Lock()
	c.maxEnded = m.calls.maxEnded
	m.now, m.tickets, m.calls, m.poison = fromUnixMillis(d.NowMS), t, c, loadPoison(d)
	changedIndex, digests, state := m.poison.changedIndex, m.poison.refused(m.now), m.tickets.state
	m.mu.Unlock()
	if m.observer != nil {
		m.observer.OnRestore(state)
		m.observer.OnPoisonChange(changedIndex, digests)
	}
	return nil
}

func (s *ticketTable) save(d *snapshotDocument) {
	for n, a := range s.accepted {
		d.Accepted = append(d.Accepted, acceptedDocument{n, string(a.Digest), a.Version, toUnixMillis(a.AcceptedAt)})
	}
	for _, key := range s.refusalOrder {
		d.Refusals = append(d.Refusals, command.NewTicketAnswer(s.refusals[key]))
	}
	for id, n := range s.lastSet {
		d.LastSet = append(d.LastSet, lastSetDocument{id.Kind, id.Name, n})
	}
	slices.SortFunc(d.Accepted, func(a, b acceptedDocument) int { return cmp.Compare(a.Number, b.Number) })
	slices.SortFunc(d.LastSet, func(a, b lastSetDocument) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}

func loadTickets(d snapshotDocument) (ticketTable, error) {
	s := newTicketTable()
	state, err := ticket.DecodeState(d.State)
	if err != nil {
		return s, err
	}
	s.state = state
	for _, a := range d.Accepted {
		s.accepted[a.Number] = acceptedTicket{deck.TicketDigest(a.Digest), a.Version, fromUnixMillis(a.AtMS)}
	}
	for _, r := range d.Refusals {
		a, err := r.Answer()
		if err != nil {
			return s, err
		}
		s.recordRefusal(a)
	}
	for _, l := range d.LastSet {
		s.lastSet[objectID{l.Kind, l.Name}] = l.Number
	}
	return s, nil
}

func (c *callTable) save(d *snapshotDocument) {
	for _, entry := range c.running {
		if r := c.lookup(entry); r != nil && r.status == deck.ClaimInProgress {
			d.Running = append(d.Running, newRecordDocument(entry, r))
		}
	}
	for _, entry := range c.ended {
		if r := c.lookup(entry); r != nil && r.status != deck.ClaimInProgress {
			d.Ended = append(d.Ended, newRecordDocument(entry, r))
		}
	}
	d.Serial = c.serial
	for _, entry := range c.releasedQueue {
		d.Released = append(d.Released, releasedDocument{entry.claim, toUnixMillis(entry.queuedAt)})
	}
}

func newRecordDocument(entry queueEntry, r *record) recordDocument {
	d := recordDocument{
		Key: entry.key, Serial: entry.serial, Claim: r.claim, AtMS: toUnixMillis(entry.queuedAt),
		Digest: r.digest, VM: string(r.vm), Status: command.ClaimStatusName(r.status),
	}
	if r.status == deck.ClaimFinished {
		a := command.NewAnswer(r.answer)
		d.Answer = &a
	}
	return d
}

func loadCalls(d snapshotDocument) (callTable, error) {
	c := newCallTable()
	c.serial = d.Serial
	for _, r := range d.Running {
		if err := c.load(r, &c.running); err != nil {
			return c, err
		}
	}
	for _, r := range d.Ended {
		if err := c.load(r, &c.ended); err != nil {
			return c, err
		}
		c.endedCount++
	}
	for _, r := range d.Released {
		c.released[r.Claim] = true
		c.releasedQueue = append(c.releasedQueue, releasedClaim{r.Claim, fromUnixMillis(r.AtMS)})
	}
	return c, nil
}

func (c *callTable) load(d recordDocument, queue *[]queueEntry) error {
	status, err := command.ParseClaimStatus(d.Status)
	if err != nil {
		return err
	}
	r := &record{serial: d.Serial, digest: d.Digest, claim: d.Claim, vm: deck.VMName(d.VM), status: status}
	if d.Answer != nil {
		if r.answer, err = d.Answer.Answer(); err != nil {
			return err
		}
	}
	c.records[d.Key] = r
	*queue = append(*queue, queueEntry{d.Key, d.Serial, fromUnixMillis(d.AtMS)})
	return nil
}

func (p *poisonTable) save(d *snapshotDocument) {
	for _, digest := range slices.Sorted(maps.Keys(p.digests)) {
		r := p.digests[digest]
		row := poisonDocument{Digest: digest, UntilMS: toUnixMillis(r.expiresAt)}
		for _, c := range r.crashes {
			row.Crashes = append(row.Crashes, crashDocument{string(c.backend), c.id, c.alone})
		}
		d.Poison = append(d.Poison, row)
	}
	for _, part := range slices.Sorted(maps.Keys(p.parts)) {
		h := p.parts[part]
		row := poisonPartDocument{Part: part, UntilMS: toUnixMillis(h.expiresAt)}
		for _, c := range h.crashes {
			row.Crashes = append(row.Crashes, partCrashDocument{c.id, toUnixMillis(c.At), c.Requests})
		}
		d.PoisonParts = append(d.PoisonParts, row)
	}
}

func loadPoison(d snapshotDocument) poisonTable {
	p := newPoisonTable()
	p.changedIndex = d.PoisonChanged
	for _, row := range d.Poison {
		r := &crashHistory{expiresAt: fromUnixMillis(row.UntilMS)}
		for _, c := range row.Crashes {
			r.crashes = append(r.crashes, crash{deck.BackendName(c.Backend), c.ID, c.Alone})
		}
		p.digests[row.Digest] = r
	}
	for _, row := range d.PoisonParts {
		h := &partHistory{expiresAt: fromUnixMillis(row.UntilMS)}
		for _, c := range row.Crashes {
			h.crashes = append(h.crashes, partCrash{c.ID, blame.PartCrash{At: fromUnixMillis(c.AtMS), Requests: c.Requests}})
		}
		p.parts[row.Part] = h
	}
	return p
}

// toUnixMillis returns the Unix time in milliseconds, and 0 for the zero time, which is earlier than every time that a
// leader sets.
func toUnixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// fromUnixMillis is the inverse of toUnixMillis.
func fromUnixMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}
