package membership

import (
	"context"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/rs/zerolog"
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
type Membership struct{ o Options }

func New(o Options) *Membership                                                    { return &Membership{o} }
func (m *Membership) Self() state.Instance                                         { return m.o.Self }
func (m *Membership) Owners(state.Database) []state.Instance                       { return []state.Instance{m.o.Self} }
func (m *Membership) Peers() []state.Instance                                      { return nil }
func (m *Membership) SamplePeers(int) []state.Instance                             { return nil }
func (m *Membership) Snapshot() any                                                { return nil }
func (m *Membership) Run(ctx context.Context)                                      { <-ctx.Done() }
func (m *Membership) SetLeaving()                                                  {}
func (m *Membership) ReportLeaving(id state.InstanceID, inc state.Incarnation)     {}
func (m *Membership) ReportFailure(state.InstanceID, state.Incarnation, error)     {}
func (m *Membership) ReportSuccess(state.InstanceID, state.Incarnation)            {}
