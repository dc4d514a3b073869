package renewals

import (
	"slices"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
)

// batch is one transaction of several renewals, each with its own conditions.
type batch struct {
	own    rowstore.Transaction
	offers []message
}

// add adds an offer, unless its conditions can't hold together with those of the
// others.
func (b *batch) add(offer message) bool {
	if offer.Era != b.own.Era || !offer.namesOwnRow() {
		return false
	}
	for _, condition := range offer.conditions() {
		if b.contradicts(condition) {
			return false
		}
	}
	b.offers = append(b.offers, offer)
	return true
}

func (b *batch) contradicts(condition rowstore.Condition) bool {
	return slices.ContainsFunc(b.transaction().Conditions, func(of rowstore.Condition) bool {
		return of.Table == condition.Table && of.Key == condition.Key && of.Version != condition.Version
	})
}

// transaction returns the transaction that commits all renewals or none.
func (b *batch) transaction() rowstore.Transaction {
	all := rowstore.Transaction{Era: b.own.Era, Conditions: slices.Clone(b.own.Conditions), Puts: slices.Clone(b.own.Puts), Deletes: b.own.Deletes}
	for _, offer := range b.offers {
		for _, condition := range offer.conditions() {
			if !slices.Contains(all.Conditions, condition) {
				all.Conditions = append(all.Conditions, condition)
			}
		}
		all.Puts = append(all.Puts, rowstore.Row{Table: leadership.TableInstances, Key: string(offer.From), Value: offer.Row})
	}
	return all
}

// ownHolds reports whether the conditions of this instance's renewal held.
func (b *batch) ownHolds(conflict *rowstore.ConflictError) bool {
	return holds(conflict, b.own.Conditions)
}

// removeConflicting removes and returns the offers whose conditions did not hold.
func (b *batch) removeConflicting(conflict *rowstore.ConflictError) []message {
	var removed []message
	b.offers = slices.DeleteFunc(b.offers, func(offer message) bool {
		conflicts := !holds(conflict, offer.conditions())
		if conflicts {
			removed = append(removed, offer)
		}
		return conflicts
	})
	return removed
}

func holds(conflict *rowstore.ConflictError, conditions []rowstore.Condition) bool {
	for _, condition := range conditions {
		if !conflict.Holds(condition) {
			return false
		}
	}
	return true
}
