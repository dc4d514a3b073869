package app

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/admission"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/routing"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/session"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// sessionFactory creates client sessions.
type sessionFactory struct {
	router *routing.Router
	budget *admission.RetryBudget
	units  unitCounters
}

func newSessionFactory(router *routing.Router, budget *admission.RetryBudget) *sessionFactory {
	return &sessionFactory{router: router, budget: budget, units: newUnitCounters()}
}

// NewSession implements pgserver.SessionFactory.
func (f *sessionFactory) NewSession(identity session.Identity, token state.Position) *session.Session {
	return session.New(identity, f.router, f.budget, f, token)
}

// UnitDone implements session.Observer.
func (f *sessionFactory) UnitDone(access execution.Access, group state.GroupID, database state.DatabaseID) {
	onPrimary := f.router.IsPrimary(group, database)
	f.units.count(access, onPrimary)
}

// unitCounters count the requests served, by access and by whether the primary
// served them.
type unitCounters struct {
	byAccess map[execution.Access]map[bool]*metrics.Counter
}

func newUnitCounters() unitCounters {
	counters := unitCounters{byAccess: map[execution.Access]map[bool]*metrics.Counter{}}
	names := map[execution.Access]string{execution.AccessRead: "read", execution.AccessWrite: "write"}
	for access, name := range names {
		counters.byAccess[access] = map[bool]*metrics.Counter{
			true:  metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamenpin_requests_total{access=%q,role="primary"}`, name)),
			false: metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamenpin_requests_total{access=%q,role="replica"}`, name)),
		}
	}
	return counters
}

func (c unitCounters) count(access execution.Access, onPrimary bool) {
	c.byAccess[access][onPrimary].Inc()
}
