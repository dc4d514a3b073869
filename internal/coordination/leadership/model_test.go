package leadership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/test/modelcheck"
)

// The model explores all interleavings of two instances, one group with two databases
// and a store that may return once from a copy. Times are counted in ticks and kept
// relative to the present, so that their number is not bounded. An instance that is cut
// off or paused takes no steps. Confirmations between instances are left out.
const (
	modelInstances = 2
	modelLease     = 2 // ticks
	modelDuty      = 2 // ticks
	modelOld       = 3 // ages are not told apart from here on
	modelEra       = 10
	modelChanges   = 2
)

type modelRecord struct {
	epoch, primary int8
	changing       bool
}

func (r modelRecord) newerThan(other modelRecord) bool {
	return Record{Epoch: uint64(r.epoch), Changing: r.changing}.newerThan(Record{Epoch: uint64(other.epoch), Changing: other.changing})
}

type modelRow struct {
	exists, waiting bool
	era, age, acked int8
}

type modelStore struct {
	era, version, settled   int8
	record                  modelRecord
	rows                    [modelInstances]modelRow
	token, holder, dutyLeft int8
}

type modelPhase int8

const (
	phaseNone modelPhase = iota
	phaseAnnounced
	phaseDecided
	phasePromoted
)

// modelInstance is an instance with the change that it carries out. settled is set in
// an era whose records are known to be right, carried if it knows so by itself.
type modelInstance struct {
	known, carried, settled             bool
	era, eraAge, seen, acked, leaseLeft int8
	record                              modelRecord
	phase                               modelPhase
	epoch, token, tokenLeft             int8
}

type modelState struct {
	store, from      modelStore
	copied, restored bool
	// restarted is set once one instance, powerLost once all have restarted.
	restarted, powerLost bool
	changes              int8
	instances            [modelInstances]modelInstance
	// leader is the database that the platform promoted last. highestToken is the
	// highest token that it has seen, highestHolder who sent it.
	leader, highestToken, highestHolder int8
	tokenReused                         bool
}

// modelRules can be broken one at a time.
type modelRules struct {
	noEras, renewWithoutMemory, tokensOfRow, askNoDatabases, decideWithoutStore, keepOldEpochs bool
}

// violation returns which promise a state breaks, "" if none.
func (s *modelState) violation() string {
	if s.tokenReused {
		return "a token was used by two holders, or decreased"
	}
	for i, in := range s.instances {
		if in.leaseLeft > 0 && in.known && !in.record.changing && in.record.primary != s.leader {
			return fmt.Sprintf("instance %d uses a superseded primary", i)
		}
	}
	return ""
}

func (s *modelState) tick(int, modelRules) bool {
	before := *s
	older := func(age *int8) { *age = min(*age+1, modelOld) }
	sooner := func(left *int8) { *left = max(*left-1, 0) }
	for _, store := range []*modelStore{&s.store, &s.from} {
		if sooner(&store.dutyLeft); store.dutyLeft == 0 {
			store.holder = 0 // of no consequence any more
		}
		for i := range store.rows {
			if store.rows[i].exists {
				older(&store.rows[i].age)
			}
		}
	}
	for i := range s.instances {
		in := &s.instances[i]
		sooner(&in.leaseLeft)
		sooner(&in.tokenLeft)
		older(&in.eraAge)
	}
	return *s != before
}

func (s *modelState) copy(int, modelRules) bool {
	if s.copied {
		return false
	}
	s.from, s.copied = s.store, true
	return true
}

func (s *modelState) restore(int, modelRules) bool {
	if !s.copied || s.restored {
		return false
	}
	s.store, s.from, s.restored = s.from, modelStore{}, true
	s.store.era = 1
	return true
}

// restart makes an instance lose what it knows.
func (s *modelState) restart(i int, _ modelRules) bool {
	if s.restarted {
		return false
	}
	s.restarted = true
	s.instances[i] = modelInstance{era: -1, eraAge: modelOld}
	return true
}

func (s *modelState) losePower(int, modelRules) bool {
	if s.powerLost {
		return false
	}
	s.powerLost = true
	for i := range s.instances {
		s.instances[i] = modelInstance{era: -1, eraAge: modelOld}
	}
	return true
}

func (s *modelState) enterEra(i int, rules modelRules) {
	in := &s.instances[i]
	if in.era == s.store.era || rules.noEras && in.known {
		return
	}
	valid := in.leaseLeft > 0
	in.era, in.eraAge, in.carried, in.settled = s.store.era, 0, valid, valid
	if in.era == 0 {
		in.eraAge = modelOld
	}
	in.phase, in.epoch, in.token, in.tokenLeft = phaseNone, 0, 0, 0
}

func (s *modelState) write(i int, record modelRecord) {
	s.store.version++
	s.store.record, s.instances[i].seen = record, s.store.version
}

// read reads the era and the group's record, and writes back a record that the store
// lacks.
func (s *modelState) read(i int, rules modelRules) {
	in := &s.instances[i]
	s.enterEra(i, rules)
	in.known, in.seen = true, s.store.version
	if s.store.record.newerThan(in.record) {
		in.record = s.store.record
		in.acked = max(in.acked, in.record.epoch)
	} else if in.record.newerThan(s.store.record) {
		s.write(i, in.record)
	}
	in.settled = in.settled || s.store.settled == in.era || rules.noEras
}

// renew reads the store and renews the lease. The row acknowledges changes.
func (s *modelState) renew(i int, rules modelRules) bool {
	s.read(i, rules)
	in := &s.instances[i]
	if !in.settled && !rules.renewWithoutMemory {
		return false
	}
	in.leaseLeft = modelLease
	s.store.rows[i] = modelRow{exists: true, era: in.era, acked: in.acked}
	if in.carried {
		s.store.settled = in.era
	}
	return true
}

// await reads the store, shows in the row that the instance waits, and settles the era
// when no one else can.
func (s *modelState) await(i int, rules modelRules) bool {
	s.read(i, rules)
	in := &s.instances[i]
	if in.settled || in.leaseLeft > 0 {
		return false
	}
	s.store.rows[i] = modelRow{exists: true, waiting: true, era: in.era}
	if in.eraAge <= max(modelLease, modelDuty) {
		return true
	}
	if !in.record.changing && !rules.askNoDatabases {
		in.record.primary = s.leader
	}
	if !rules.keepOldEpochs {
		in.record.epoch = max(in.record.epoch, in.era*modelEra) + 1
		in.acked = in.record.epoch
	}
	s.write(i, in.record)
	s.store.settled, in.settled = in.era, true
	return true
}

// announce acquires the duty and announces a change. With conditions of an earlier era
// the announcement may be stored, but counts for nothing.
func (s *modelState) announce(i int, rules modelRules) bool {
	in := &s.instances[i]
	if s.changes == modelChanges || !in.known || in.seen != s.store.version || in.leaseLeft == 0 || in.phase == phaseDecided {
		return false
	}
	unknown := s.store.token < in.era*modelEra && !rules.noEras
	if unknown && in.eraAge <= modelDuty || !unknown && s.store.holder != int8(i) && s.store.dutyLeft > 0 {
		return false
	}
	record := modelRecord{epoch: max(in.record.epoch, in.era*modelEra) + 1, changing: true, primary: in.record.primary}
	s.changes++
	if in.era != s.store.era && !rules.noEras {
		s.write(i, record)
		s.enterEra(i, rules)
		in.known = false
		return true
	}
	lowest := in.era * modelEra
	if rules.noEras || rules.tokensOfRow {
		lowest = 0
	}
	s.store.token, s.store.holder, s.store.dutyLeft = max(s.store.token, lowest)+1, int8(i), modelDuty
	in.record, in.acked, in.phase, in.epoch, in.token, in.tokenLeft = record, record.epoch, phaseAnnounced, record.epoch, s.store.token, modelDuty
	s.write(i, record)
	return true
}

// decide ends the wait of a promoter.
func (s *modelState) decide(i int, rules modelRules) bool {
	in := &s.instances[i]
	sameEra := in.era == s.store.era || rules.noEras
	if in.phase != phaseAnnounced || !sameEra && !rules.decideWithoutStore || in.era > 0 && in.eraAge <= modelLease {
		return false
	}
	for j, row := range s.store.rows {
		age := row.age
		if row.era != in.era && !rules.noEras {
			age = min(age, in.eraAge)
		}
		if j != i && row.exists && row.acked < in.epoch && (!row.waiting || row.era != in.era) && age <= modelLease {
			return false
		}
	}
	in.phase = phaseDecided
	return true
}

func (s *modelState) promote(i int, _ modelRules) bool {
	in := &s.instances[i]
	if in.phase != phaseDecided || in.tokenLeft == 0 {
		return false
	}
	s.tokenReused = in.token < s.highestToken || in.token == s.highestToken && s.highestHolder != int8(i)
	s.highestToken, s.highestHolder = in.token, int8(i)
	s.leader, in.phase = 1-in.record.primary, phasePromoted
	return true
}

func (s *modelState) publish(i int, rules modelRules) bool {
	in := &s.instances[i]
	if in.phase != phasePromoted || in.seen != s.store.version || in.era != s.store.era && !rules.noEras {
		return false
	}
	in.record, in.phase, in.epoch, in.token, in.tokenLeft = modelRecord{epoch: in.epoch, primary: s.leader}, phaseNone, 0, 0, 0
	s.write(i, in.record)
	return true
}

func modelSteps(rules modelRules) []modelcheck.Step[modelState] {
	var steps []modelcheck.Step[modelState]
	add := func(name string, instance int, apply func(s *modelState, i int, rules modelRules) bool) {
		steps = append(steps, modelcheck.Step[modelState]{
			Name: fmt.Sprintf("%s %d", name, instance), Apply: func(s *modelState) bool { return apply(s, instance, rules) },
		})
	}
	add("tick", 0, (*modelState).tick)
	add("copy", 0, (*modelState).copy)
	add("restore", 0, (*modelState).restore)
	add("lose power", 0, (*modelState).losePower)
	for i := range modelInstances {
		add("renew", i, (*modelState).renew)
		add("await", i, (*modelState).await)
		add("announce", i, (*modelState).announce)
		add("decide", i, (*modelState).decide)
		add("promote", i, (*modelState).promote)
		add("publish", i, (*modelState).publish)
		add("restart", i, (*modelState).restart)
	}
	return steps
}

// explore visits all states. At most one instance restarts, or all lose power once, if
// the flags allow it.
func explore(rules modelRules, restart, powerLoss bool) (states int, trace string) {
	first := modelState{restarted: !restart, powerLost: !powerLoss}
	for i := range first.instances {
		first.instances[i] = modelInstance{known: true, settled: true, leaseLeft: modelLease, eraAge: modelOld}
		first.store.rows[i] = modelRow{exists: true}
	}
	return modelcheck.Explore(first, modelSteps(rules), (*modelState).violation)
}

// No interleaving of two instances and a restored store lets a superseded primary be
// used or a fencing token be given out twice.
func TestModelOfErasHolds(t *testing.T) {
	for _, restart := range []bool{false, true} {
		states, trace := explore(modelRules{}, restart, !restart)
		t.Logf("%d states", states)
		require.Empty(t, trace)
	}
}

// Each rule is needed: without it the model finds a violation.
func TestModelOfErasNeedsEachRule(t *testing.T) {
	for name, rules := range map[string]modelRules{
		"eras are compared":                       {noEras: true},
		"an instance without memory waits":        {renewWithoutMemory: true},
		"tokens of an era are higher":             {tokensOfRow: true},
		"databases are asked":                     {askNoDatabases: true},
		"records of a settled era get its epochs": {keepOldEpochs: true},
		"leases expire by the store's time":       {decideWithoutStore: true},
	} {
		t.Run(name, func(t *testing.T) {
			states, trace := explore(rules, false, true)
			t.Logf("%d states: %s", states, trace)
			require.NotEmpty(t, trace)
		})
	}
}
