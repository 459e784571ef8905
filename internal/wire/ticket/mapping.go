package ticket

import (
	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// NewDocument returns the wire form of a ticket.
func NewDocument(t deck.Ticket) Document {
	d := Document{Number: t.Number}
	for _, m := range t.Models {
		d.Models = append(d.Models, newModel(m))
	}
	for _, a := range t.Adapters {
		d.Adapters = append(d.Adapters, Adapter{
			Name: string(a.Name), Model: string(a.Model), Bytes: int64(a.Bytes), Absent: a.Absent,
		})
	}
	for _, b := range t.BackendServers {
		d.BackendServers = append(d.BackendServers, newBackendServer(b))
	}
	for _, s := range t.Services {
		d.Services = append(d.Services, newService(s))
	}
	return d
}

// Ticket returns the domain form of the document; an unknown kind, class or role is an error.
func (d Document) Ticket() (deck.Ticket, error) {
	t := deck.Ticket{Number: d.Number}
	for _, m := range d.Models {
		v, err := m.model()
		if err != nil {
			return deck.Ticket{}, errors.Wrapf(err, "model %q", m.Name)
		}
		t.Models = append(t.Models, v)
	}
	for _, a := range d.Adapters {
		t.Adapters = append(t.Adapters, deck.Adapter{
			Name: deck.AdapterName(a.Name), Model: deck.ModelName(a.Model), Bytes: deck.Bytes(a.Bytes), Absent: a.Absent,
		})
	}
	for _, b := range d.BackendServers {
		v, err := b.backendServer()
		if err != nil {
			return deck.Ticket{}, errors.Wrapf(err, "backend server %q", b.Name)
		}
		t.BackendServers = append(t.BackendServers, v)
	}
	for _, s := range d.Services {
		t.Services = append(t.Services, s.service())
	}
	return t, nil
}

func newModel(m deck.Model) Model {
	w := Model{
		Name: string(m.Name), ActiveVersion: string(m.Active), MinReplicas: m.MinReplicas, Absent: m.Absent,
	}
	if m.Class != deck.Interactive {
		w.Class = m.Class.String()
	}
	for _, v := range m.Versions {
		w.Versions = append(w.Versions, Version{
			Name: string(v.Name), WeightBytes: int64(v.WeightBytes), KVReserveBytes: int64(v.KVReserveBytes),
			TransientBytes: int64(v.TransientBytes), KVBytesPerToken: int64(v.KVBytesPerToken),
		})
	}
	return w
}

func (m Model) model() (deck.Model, error) {
	d := deck.Model{
		Name: deck.ModelName(m.Name), Active: deck.VersionName(m.ActiveVersion), MinReplicas: m.MinReplicas, Absent: m.Absent,
	}
	switch m.Class {
	case "", deck.Interactive.String():
	case deck.Batch.String():
		d.Class = deck.Batch
	default:
		return d, errors.Newf("class %q: expected interactive or batch", m.Class)
	}
	for _, v := range m.Versions {
		d.Versions = append(d.Versions, deck.ModelVersion{
			Name: deck.VersionName(v.Name), WeightBytes: deck.Bytes(v.WeightBytes),
			KVReserveBytes: deck.Bytes(v.KVReserveBytes), TransientBytes: deck.Bytes(v.TransientBytes),
			KVBytesPerToken: deck.Bytes(v.KVBytesPerToken),
		})
	}
	return d, nil
}

func newBackendServer(b deck.BackendServer) BackendServer {
	w := BackendServer{
		Name: string(b.Name), DataCentre: string(b.DataCentre), Address: b.Address, Accelerators: b.Accelerators,
		AcceleratorBytes: int64(b.AcceleratorBytes), ChecksFencing: b.ChecksFencing, Leaving: b.Leaving, Absent: b.Absent,
	}
	if b.Kind != deck.EngineBackend {
		w.Kind = b.Kind.String()
	}
	if b.Role != deck.RoleMixed {
		w.Role = b.Role.String()
	}
	return w
}

func (b BackendServer) backendServer() (deck.BackendServer, error) {
	d := deck.BackendServer{
		Name: deck.BackendName(b.Name), DataCentre: deck.DataCentre(b.DataCentre), Address: b.Address,
		Accelerators: b.Accelerators, AcceleratorBytes: deck.Bytes(b.AcceleratorBytes), ChecksFencing: b.ChecksFencing,
		Leaving: b.Leaving, Absent: b.Absent,
	}
	switch b.Kind {
	case "", deck.EngineBackend.String():
	case deck.ServiceBackend.String():
		d.Kind = deck.ServiceBackend
	default:
		return d, errors.Newf("kind %q: expected engine or service", b.Kind)
	}
	switch b.Role {
	case "", deck.RoleMixed.String():
	case deck.RolePrefill.String():
		d.Role = deck.RolePrefill
	case deck.RoleDecode.String():
		d.Role = deck.RoleDecode
	default:
		return d, errors.Newf("role %q: expected mixed, prefill or decode", b.Role)
	}
	return d, nil
}

func newService(s deck.Service) Service {
	w := Service{Name: string(s.Name), Prefix: s.Prefix, Absent: s.Absent}
	for _, b := range s.Backends {
		w.Backends = append(w.Backends, string(b))
	}
	for _, r := range s.Routes {
		w.Routes = append(w.Routes, Route{Path: r.Path, Repeatable: r.Repeatable})
	}
	return w
}

func (s Service) service() deck.Service {
	d := deck.Service{Name: deck.ServiceName(s.Name), Prefix: s.Prefix, Absent: s.Absent}
	for _, b := range s.Backends {
		d.Backends = append(d.Backends, deck.BackendName(b))
	}
	for _, r := range s.Routes {
		d.Routes = append(d.Routes, deck.ServiceRoute{Path: r.Path, Repeatable: r.Repeatable})
	}
	return d
}
