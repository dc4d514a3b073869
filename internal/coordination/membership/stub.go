package membership

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

type Lister interface {
	List(context.Context) ([]state.Instance, error)
}
type Options struct {
	Self   state.Instance
	Seeds  []state.Instance
	Lister Lister
	Logger zerolog.Logger
}
type Membership struct {
	o  Options
	l  []state.Instance
	at time.Time
}

var mu sync.Mutex

func (m *Membership) list() []state.Instance {
	mu.Lock()
	defer mu.Unlock()
	if time.Since(m.at) > time.Second {
		m.at = time.Now()
		if l, err := m.o.Lister.List(context.Background()); err == nil {
			m.l = l
		}
	}
	return m.l
}

func New(o Options) *Membership { return &Membership{o: o} }

func (m *Membership) Self() state.Instance { return m.o.Self }

func (m *Membership) Owners(d state.Database) []state.Instance {
	l := m.list()
	var out []state.Instance
	for _, i := range l {
		if i.DataCentre == d.DataCentre {
			out = append(out, i)
		}
	}
	if len(out) == 0 && len(l) > 0 {
		out = l[:1]
	}
	return out
}

func (m *Membership) Peers() []state.Instance {
	l := m.list()
	var o []state.Instance
	for _, i := range l {
		if i.ID != m.o.Self.ID {
			o = append(o, i)
		}
	}
	return o
}

func (m *Membership) SamplePeers(int) []state.Instance                         { return m.Peers() }
func (m *Membership) Snapshot() any                                            { return nil }
func (m *Membership) Run(ctx context.Context)                                  { <-ctx.Done() }
func (m *Membership) SetLeaving()                                              {}
func (m *Membership) ReportLeaving(id state.InstanceID, inc state.Incarnation) {}
func (m *Membership) ReportFailure(state.InstanceID, state.Incarnation, error) {}
func (m *Membership) ReportSuccess(state.InstanceID, state.Incarnation)        {}
