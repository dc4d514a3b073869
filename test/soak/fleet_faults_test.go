package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// restartPeriod is the time from one graceful restart to the next one.
	restartPeriod = 10 * time.Second
	// replacementPeriod is the shortest time between replacements of a group's primary.
	replacementPeriod = 10 * time.Second
	// drainTime is how long a database that leaves goes on after it has said so.
	drainTime = 8 * time.Second
	// graceLimit is when an instance that was told to end is killed.
	graceLimit = 6 * time.Second
	// strikeChance is one in how many steps of a change of primary is met by a fault of
	// the instance that carries it out.
	strikeChance = 4
	// slowStoreLatency is how long calls to a slow store take.
	slowStoreLatency   = 240 * time.Millisecond
	normalStoreLatency = 4 * time.Millisecond
)

// fleetFaultKinds are the kinds of faults of a run, of which each has the first
// fleetBaseKinds. FLEET_FAULTS names others, separated by commas.
var fleetFaultKinds = []string{"restart", "replace", "strike", "promotion", "store", "instance", "network", "database", "cpu", "configuration", "platform", "primary", "start"}

const fleetBaseKinds = 2

// disturbance is a fault with the time in which it was active.
type disturbance struct {
	what       string
	began, end time.Time
}

// fleetFaults injects the faults of a run.
type fleetFaults struct {
	fleet *fleet

	mu    sync.Mutex
	rules map[int]storeRule
	last  int
}

// storeRule is a fault of some calls to the store.
type storeRule struct {
	// member is the instance that is affected, calls the kinds of calls and table the
	// table that they concern; each means all if it is empty.
	member, calls, table string
	fault                standin.Fault
	// share is the part of these calls that fail, all if random is nil.
	share  float64
	random *rand.Rand
}

func newFleetFaults(f *fleet) *fleetFaults {
	return &fleetFaults{fleet: f, rules: make(map[int]storeRule)}
}

// observer is the name under which the test itself reads the store.
const observer = "observer"

// storeFault returns the fault of a call to the store.
func (x *fleetFaults) storeFault(caller, call, table string) standin.Fault {
	x.mu.Lock()
	defer x.mu.Unlock()
	if caller == observer {
		return standin.FaultNone
	}
	for _, rule := range x.rules {
		if rule.affects(caller, call, table) && (rule.random == nil || rule.random.Float64() < rule.share) {
			return rule.fault
		}
	}
	return standin.FaultNone
}

func (r storeRule) affects(caller, call, table string) bool {
	return (r.member == "" || r.member == caller) && (r.table == "" || r.table == table) &&
		(r.calls == "" || slices.Contains(strings.Split(r.calls, ","), call))
}

func (x *fleetFaults) addRule(rule storeRule) (remove func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.last++
	n := x.last
	x.rules[n] = rule
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.rules, n)
	}
}

// disturb records the begin of a fault and returns the function that records its end.
func (f *fleet) disturb(format string, arguments ...any) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.disturbances)
	f.disturbances = append(f.disturbances, disturbance{what: fmt.Sprintf(format, arguments...), began: time.Now()})
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.disturbances[n].end = time.Now()
	}
}

// injects reports whether a kind of faults is part of the run.
func (f *fleet) injects(kind string) bool { return slices.Contains(f.kinds, kind) }

// chooseKinds chooses the kinds of faults of a run: restarts and replacements, about half
// of the others, and how often random faults begin.
func (f *fleet) chooseKinds() {
	random := f.random(7)
	f.pause = time.Duration(1000+random.IntN(5000)) * time.Millisecond
	for n, kind := range fleetFaultKinds {
		if random.IntN(2) == 0 || n < fleetBaseKinds {
			f.kinds = append(f.kinds, kind)
		}
	}
	if names := os.Getenv("FLEET_FAULTS"); names != "" {
		f.kinds = strings.Split(names, ",")
	}
	f.t.Logf("faults %v, one within %v in each of two series", f.kinds, f.pause)
}

// injectFaults injects faults for the given time, and returns when all have ended.
func (f *fleet) injectFaults(duration time.Duration) {
	deadline := time.Now().Add(duration)
	f.chooseKinds()
	var running sync.WaitGroup
	if f.injects("cpu") {
		for n, i := range f.members {
			i.sharing.limit(i.instance, f.random(200+n))
		}
	}
	beat := make(chan struct{}, fleetGroups)
	if f.injects("restart") {
		running.Go(func() { f.restartInTurn(f.random(1), deadline, beat) })
	}
	if f.injects("replace") {
		for n, g := range f.groups {
			running.Go(func() { f.replacePrimaries(g, f.random(10+n), deadline, beat) })
		}
	}
	if f.injects("strike") {
		running.Go(func() { f.strikePromoters(f.random(2), deadline) })
	}
	if f.injects("platform") {
		running.Go(func() { f.injectLong(f.random(20), deadline, f.lostWrites) })
		running.Go(func() { f.injectLong(f.random(21), deadline, f.turnedAway) })
	}
	if f.injects("primary") {
		running.Go(func() { f.injectLong(f.random(30), deadline, f.primaryTrouble) })
		running.Go(func() { f.cutPromoters(f.random(31), deadline) })
	}
	running.Go(func() { f.injectSeries(f.random(3), deadline) })
	running.Go(func() { f.injectSeries(f.random(4), deadline) })
	running.Wait()
	f.heal()
}

// heal ends what faults may have left behind.
func (f *fleet) heal() {
	for _, i := range f.members {
		i.start()
	}
}

// restartInTurn restarts the instances gracefully, one after the other.
func (f *fleet) restartInTurn(random *rand.Rand, deadline time.Time, beat chan<- struct{}) {
	order := random.Perm(len(f.members))
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; time.Now().Before(deadline); n++ {
		began := time.Now()
		i := f.members[order[n%len(order)]]
		down := time.Duration(random.IntN(1000)) * time.Millisecond
		if f.injects("start") && random.IntN(2) == 0 {
			f.restartWithoutAnswer(random, i, down)
		} else {
			f.restart(i, down)
		}
		for range fleetGroups {
			select {
			case beat <- struct{}{}:
			default:
			}
		}
		if f.injects("start") {
			own := rand.New(rand.NewPCG(random.Uint64(), 6))
			running.Go(func() { f.turnAwayStarted(own, i) })
		}
		time.Sleep(time.Until(began.Add(restartPeriod)))
	}
}

// restart stops an instance gracefully, kills it once its grace is over, and starts it
// again.
func (f *fleet) restart(i *fleetInstance, down time.Duration) {
	end := f.disturb("%s is restarted", i.name)
	defer end()
	i.terminate()
	time.Sleep(down)
	i.start()
}

// terminate stops an instance gracefully and kills it once its grace is over.
func (i *fleetInstance) terminate() {
	timer := time.AfterFunc(graceLimit, func() { i.signal(syscall.SIGKILL) })
	defer timer.Stop()
	i.stop(syscall.SIGTERM)
}

// replacePrimaries replaces the primary of a group again and again, at about the moment
// at which an instance starts.
func (f *fleet) replacePrimaries(g *fleetGroup, random *rand.Rand, deadline time.Time, beat <-chan struct{}) {
	for time.Now().Before(deadline) {
		began := time.Now()
		select {
		case <-beat:
		case <-time.After(replacementPeriod + time.Duration(random.IntN(2000))*time.Millisecond):
		}
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		f.replacePrimary(g, random)
		time.Sleep(time.Until(began.Add(replacementPeriod)))
	}
}

// replacePrimary lets a new database join and the primary leave.
func (f *fleet) replacePrimary(g *fleetGroup, random *rand.Rand) {
	leader := g.find(string(g.Leader().ID))
	if leader == nil {
		return
	}
	joined := f.join(g, leader.zone)
	time.Sleep(time.Duration(500+random.IntN(1000)) * time.Millisecond)
	end := f.disturb("%s leaves, %s joined", leader.ID, joined.ID)
	leader.Leave()
	time.AfterFunc(drainTime, func() {
		f.retire(g, leader)
		end()
	})
}

// join lets a new database join a group, at the address of one that has left if there is
// one.
func (f *fleet) join(g *fleetGroup, zone string) *fleetDatabase {
	g.mu.Lock()
	g.last++
	n := g.last
	g.mu.Unlock()
	joined := f.newDatabase(g.Add(n, zone), zone)
	if !f.takeAddress(joined) {
		f.connect(joined)
	}
	g.mu.Lock()
	g.members = append(g.members, joined)
	g.mu.Unlock()
	go f.register(g, joined)
	return joined
}

// retire ends a database that has left. Another one may take its address.
func (f *fleet) retire(g *fleetGroup, d *fleetDatabase) {
	g.remove(d)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vacated = append(f.vacated, d)
}

// remove ends a database for good.
func (g *fleetGroup) remove(d *fleetDatabase) {
	g.Remove(d.Database)
	d.Suspend(false)
	g.mu.Lock()
	defer g.mu.Unlock()
	d.gone = true
	g.members = slices.DeleteFunc(slices.Clone(g.members), func(other *fleetDatabase) bool { return other == d })
}

// injectSeries begins random faults at random intervals and ends each after a random
// time, so that they overlap.
func (f *fleet) injectSeries(random *rand.Rand, deadline time.Time) {
	var running sync.WaitGroup
	for time.Now().Before(deadline) {
		time.Sleep(time.Duration(random.Int64N(int64(f.pause))))
		fault := f.randomFault(random)
		duration := time.Duration(500+random.IntN(5500)) * time.Millisecond
		end := f.disturb("%s", fault.what)
		fault.begin()
		running.Go(func() {
			time.Sleep(duration)
			fault.end()
			end()
		})
	}
	running.Wait()
}

// fleetFault is a fault with a description.
type fleetFault struct {
	what       string
	begin, end func()
}

// randomFault chooses a fault of a kind that is injected.
func (f *fleet) randomFault(random *rand.Rand) *fleetFault {
	var choices []func(*rand.Rand) *fleetFault
	for _, fault := range []struct {
		kind   string
		choose func(*rand.Rand) *fleetFault
	}{
		{"promotion", f.promotionFault},
		{"store", f.storeFault},
		{"instance", f.instanceFault},
		{"network", f.networkFault},
		{"database", f.databaseFault},
		{"configuration", f.configurationFault},
	} {
		if f.injects(fault.kind) {
			choices = append(choices, fault.choose)
		}
	}
	if len(choices) == 0 {
		return &fleetFault{"none", func() {}, func() {}}
	}
	return choices[random.IntN(len(choices))](random)
}

func (f *fleet) randomMember(random *rand.Rand) *fleetInstance {
	return f.members[random.IntN(len(f.members))]
}

// randomDatabase chooses a database, the primary in every second case.
func (f *fleet) randomDatabase(random *rand.Rand) *fleetDatabase {
	g := f.groups[random.IntN(len(f.groups))]
	if random.IntN(2) == 0 {
		if leader := g.find(string(g.Leader().ID)); leader != nil {
			return leader
		}
	}
	members := g.present()
	return members[random.IntN(len(members))]
}

func (f *fleet) promotionFault(random *rand.Rand) *fleetFault {
	i := f.randomMember(random)
	members := []*fleetInstance{i}
	if random.IntN(2) == 0 {
		members = f.members
	}
	all := func(do func(*fleetInstance)) func() {
		return func() {
			for _, i := range members {
				do(i)
			}
		}
	}
	names := fmt.Sprintf("%s and %d others", members[0].name, len(members)-1)
	mode := promotionMode(random.IntN(int(promotionModes)))
	late := time.Duration(500+random.IntN(5500)) * time.Millisecond
	switch mode {
	case promotionCut:
		return &fleetFault{"promotions cut for " + names, all(func(i *fleetInstance) { i.promotions.cut(true) }), all(func(i *fleetInstance) { i.promotions.cut(false) })}
	case promotionNormal:
		return &fleetFault{"promotions refused for " + names, all(func(i *fleetInstance) { i.promotions.refuse(true) }), all(func(i *fleetInstance) { i.promotions.refuse(false) })}
	default:
		return &fleetFault{
			fmt.Sprintf("promotions %s by %v for %s", mode, late, names),
			all(func(i *fleetInstance) { i.calls.set(mode, late) }), all(func(i *fleetInstance) { i.calls.set(promotionNormal, 0) }),
		}
	}
}

func (f *fleet) storeFault(random *rand.Rand) *fleetFault {
	member, who := "", "all"
	if random.IntN(2) == 0 {
		member = f.randomMember(random).name
		who = member
	}
	rule := storeRule{member: member, share: 1, random: rand.New(rand.NewPCG(random.Uint64(), 3))}
	what := ""
	switch random.IntN(8) {
	case 0:
		return &fleetFault{"store slow", func() { f.store.SetLatency(slowStoreLatency) }, func() { f.store.SetLatency(normalStoreLatency) }}
	case 1:
		return &fleetFault{"store's history forgotten", f.store.ForgetHistory, f.store.ForgetHistory}
	case 2:
		what, rule.fault = "refuses", standin.FaultRefused
	case 3:
		what, rule.fault, rule.share, rule.calls = "loses answers", standin.FaultResponseLost, 0.35, "transact,removal"
	case 4:
		what, rule.fault, rule.share, rule.calls = "writes late", standin.FaultDelayed, 0.35, "transact,removal"
		f.store.SetEffectDelay(time.Duration(1000+random.IntN(5000)) * time.Millisecond)
	case 5:
		what, rule.fault, rule.calls = "refuses reads", standin.FaultRefused, "list,watch"
	case 6:
		what, rule.fault, rule.calls = "is silent to reads", standin.FaultRequestLost, "list,watch,watch response"
	default:
		links := f.linksOf(func(i *fleetInstance) []*link { return []*link{i.store} }, member)
		return &fleetFault{"store silent to " + who, links.cut(true), links.cut(false)}
	}
	remove := func() {}
	return &fleetFault{fmt.Sprintf("store %s for %s", what, who), func() { remove = f.faults.addRule(rule) }, func() { remove() }}
}

// links are links that are cut together.
type links []*link

// linksOf returns the chosen links of an instance, or of all if member is empty.
func (f *fleet) linksOf(choose func(*fleetInstance) []*link, member string) links {
	var chosen links
	for _, i := range f.members {
		if member == "" || member == i.name {
			chosen = append(chosen, choose(i)...)
		}
	}
	return chosen
}

func (l links) cut(active bool) func() {
	return func() {
		for _, one := range l {
			one.cut(active)
		}
	}
}

func (f *fleet) instanceFault(random *rand.Rand) *fleetFault {
	i := f.randomMember(random)
	switch random.IntN(3) {
	case 0:
		return &fleetFault{i.name + " killed", func() { i.stop(syscall.SIGKILL) }, i.start}
	case 1:
		return &fleetFault{i.name + " terminated", func() { go i.terminate() }, func() { i.terminate(); i.start() }}
	default:
		return &fleetFault{i.name + " suspended", func() { i.sharing.suspend(i.instance, true) }, func() { i.sharing.suspend(i.instance, false) }}
	}
}

func (f *fleet) networkFault(random *rand.Rand) *fleetFault {
	i := f.randomMember(random)
	switch random.IntN(5) {
	case 0:
		l := links{i.store, i.promotions}
		return &fleetFault{i.name + " cut from the store", l.cut(true), l.cut(false)}
	case 1:
		l := f.peersOf(i)
		return &fleetFault{i.name + " cut from its peers", l.cut(true), l.cut(false)}
	case 2:
		a := random.IntN(len(fleetZones))
		b := (a + 1 + random.IntN(len(fleetZones)-1)) % len(fleetZones)
		return f.zoneCut(fleetZones[a], fleetZones[b])
	case 3:
		all := f.linksOfDatabases(func(_ *fleetDatabase, l *link, other *fleetInstance) bool { return other == i })
		return &fleetFault{"connections of " + i.name + " reset", all.reset, func() {}}
	default:
		d := f.randomDatabase(random)
		cut := random.Perm(len(f.members))[:1+random.IntN(len(f.members)-1)]
		var l links
		var names []string
		for _, n := range cut {
			names = append(names, f.members[n].name)
			f.mu.Lock()
			l = append(l, d.links[f.members[n]])
			f.mu.Unlock()
		}
		return &fleetFault{fmt.Sprintf("%s cut from %s", d.ID, strings.Join(names, ", ")), l.cut(true), l.cut(false)}
	}
}

func (l links) reset() {
	for _, one := range l {
		one.reset()
	}
}

// peersOf returns the links between an instance and all others.
func (f *fleet) peersOf(i *fleetInstance) links {
	var l links
	for _, other := range f.members {
		if other != i {
			l = append(l, i.peerLinks[other].link, other.peerLinks[i].link)
		}
	}
	return l
}

// linksOfDatabases returns the links to databases that choose accepts.
func (f *fleet) linksOfDatabases(choose func(*fleetDatabase, *link, *fleetInstance) bool) links {
	var chosen links
	for _, g := range f.groups {
		for _, d := range g.present() {
			f.mu.Lock()
			for i, l := range d.links {
				if choose(d, l, i) {
					chosen = append(chosen, l)
				}
			}
			f.mu.Unlock()
		}
	}
	return chosen
}

// zoneCut cuts two data centres from each other: instances, databases, replication and,
// for z1, the store.
func (f *fleet) zoneCut(a, b string) *fleetFault {
	between := func(x, y string) bool { return zonePair(x, y) == zonePair(a, b) }
	var l links
	begin := func() {
		f.zonesMu.Lock()
		f.cutZones[zonePair(a, b)]++
		f.zonesMu.Unlock()
		l = f.linksOfDatabases(func(d *fleetDatabase, _ *link, i *fleetInstance) bool { return between(d.zone, i.zone) })
		for _, i := range f.members {
			if between(i.zone, fleetZones[0]) {
				l = append(l, i.store, i.promotions)
			}
			for other, peer := range i.peerLinks {
				if between(i.zone, other.zone) {
					l = append(l, peer.link)
				}
			}
		}
		l.cut(true)()
	}
	return &fleetFault{fmt.Sprintf("%s cut from %s", a, b), begin, func() {
		f.zonesMu.Lock()
		pair := zonePair(a, b)
		if f.cutZones[pair]--; f.cutZones[pair] == 0 {
			f.lateLinks[pair].cut(false)()
			delete(f.cutZones, pair)
			delete(f.lateLinks, pair)
		}
		f.zonesMu.Unlock()
		l.cut(false)()
	}}
}

func (f *fleet) databaseFault(random *rand.Rand) *fleetFault {
	d := f.randomDatabase(random)
	id := string(d.ID)
	switch random.IntN(8) {
	case 0:
		return &fleetFault{id + " crashed", func() { d.Crash(false) }, d.Restart}
	case 1:
		return &fleetFault{id + " dark", func() { d.Crash(true) }, d.Restart}
	case 2:
		return &fleetFault{id + " suspended", func() { d.Suspend(true) }, func() { d.Suspend(false) }}
	case 3:
		return &fleetFault{id + " slow", func() { d.SetSlowness(5) }, func() { d.SetSlowness(1) }}
	case 4:
		return &fleetFault{id + " deaf", func() { d.SetDeaf(true) }, func() { d.SetDeaf(false) }}
	case 5:
		return &fleetFault{id + " loses answers", func() { d.DropReplies(8) }, func() { d.DropReplies(0) }}
	case 6:
		return &fleetFault{id + " breaks connections", func() { d.DropConnections(8) }, func() { d.DropConnections(0) }}
	default:
		return &fleetFault{id + " applies late", func() { d.SetApplyDelay(500 * time.Millisecond) }, func() { d.SetApplyDelay(8 * time.Millisecond) }}
	}
}

func (f *fleet) configurationFault(random *rand.Rand) *fleetFault {
	routes := 1 + random.IntN(8)
	return &fleetFault{"configuration changed", func() { f.writeConfiguration(routes) }, func() { f.writeConfiguration(0) }}
}

// A step of a change of primary at which the instance that carries it out is struck.
type changeStep string

const (
	stepAnnounced changeStep = "after the announcement"
	stepRecorded  changeStep = "after the call was recorded"
	stepCalled    changeStep = "after the call arrived"
	stepEffective changeStep = "after the promotion took effect"
)

// strikePromoters lets faults meet instances in the middle of a change of primary.
func (f *fleet) strikePromoters(random *rand.Rand, deadline time.Time) {
	steps := make(chan struct {
		step   changeStep
		member string
	}, 100)
	report := func(step changeStep, member string) {
		select {
		case steps <- struct {
			step   changeStep
			member string
		}{step, member}:
		default:
		}
	}
	for _, i := range f.members {
		i.calls.setReport(report)
	}
	go f.observeRows(report)
	var running sync.WaitGroup
	for time.Now().Before(deadline) {
		select {
		case <-time.After(time.Until(deadline)):
		case s := <-steps:
			if random.IntN(strikeChance) != 0 {
				continue
			}
			for _, i := range f.members {
				if strings.HasPrefix(s.member, i.name) {
					own := rand.New(rand.NewPCG(random.Uint64(), 5))
					running.Go(func() { f.strike(i, s.step, own) })
				}
			}
		}
	}
	running.Wait()
}

// strike injects up to two faults of an instance that carries out a change.
func (f *fleet) strike(i *fleetInstance, step changeStep, random *rand.Rand) {
	var running sync.WaitGroup
	for range 1 + random.IntN(2) {
		fault := f.strikeFault(i, random)
		duration := time.Duration(500+random.IntN(5500)) * time.Millisecond
		running.Go(func() {
			end := f.disturb("%s %s %s", i.name, fault.what, step)
			fault.begin()
			time.Sleep(duration)
			fault.end()
			end()
		})
	}
	running.Wait()
}

func (f *fleet) strikeFault(i *fleetInstance, random *rand.Rand) *fleetFault {
	switch random.IntN(9) {
	case 0:
		return &fleetFault{"killed", func() { i.stop(syscall.SIGKILL) }, i.start}
	case 1:
		return &fleetFault{"terminated", func() { go i.terminate() }, func() { i.terminate(); i.start() }}
	case 2:
		return &fleetFault{"suspended", func() { i.sharing.suspend(i.instance, true) }, func() { i.sharing.suspend(i.instance, false) }}
	case 3:
		l := links{i.store, i.promotions}
		return &fleetFault{"cut from the store", l.cut(true), l.cut(false)}
	case 4:
		l := append(f.peersOf(i), i.store, i.promotions)
		return &fleetFault{"cut from store and peers", l.cut(true), l.cut(false)}
	case 5:
		l := f.primariesOf(i)
		return &fleetFault{"cut from primaries", l.cut(true), l.cut(false)}
	case 6:
		return f.readsFail("is refused reads of the store", storeRule{member: i.name, calls: "list", fault: standin.FaultRefused})
	case 7:
		return f.readsFail("beside all others gets no answers to reads of the store", storeRule{calls: "list,watch,watch response", fault: standin.FaultRequestLost})
	default:
		return f.readsFail("is refused by the store", storeRule{member: i.name, fault: standin.FaultRefused})
	}
}

func (f *fleet) readsFail(what string, rule storeRule) *fleetFault {
	remove := func() {}
	return &fleetFault{what, func() { remove = f.faults.addRule(rule) }, func() { remove() }}
}

// primariesOf returns the links of an instance to the primaries of all groups.
func (f *fleet) primariesOf(i *fleetInstance) links {
	return f.linksOfDatabases(func(d *fleetDatabase, _ *link, other *fleetInstance) bool { return other == i && d.Leads() })
}

// observeRows reports announcements of changes and recorded calls.
func (f *fleet) observeRows(report func(changeStep, string)) {
	go f.observe("primaries", func(_ string, fields map[string]any) {
		if changing, _ := fields["changing"].(bool); changing {
			report(stepAnnounced, fmt.Sprint(fields["promoter"]))
		}
	})
	f.observe("duties", func(_ string, fields map[string]any) {
		if calls, _ := fields["calls"].([]any); len(calls) > 0 {
			report(stepRecorded, fmt.Sprint(fields["holder"]))
		}
	})
}

// promotionMode is how the promotion endpoint behaves towards an instance.
type promotionMode int

const (
	promotionNormal promotionMode = iota // as a fault: refuses connections
	promotionCut
	promotionSlow
	promotionSilent
	promotionLate
	promotionReset
	promotionAnswerLost
	promotionBusy
	promotionModes
)

// String returns what the endpoint does.
func (m promotionMode) String() string {
	return [...]string{"normal", "cut", "slow", "silent", "carried out late without an answer", "carried out late after a reset", "without an answer", "busy"}[m]
}

// promotionEndpoint is the promotion call as one instance reaches it.
type promotionEndpoint struct {
	fleet  *fleet
	member *fleetInstance

	mu     sync.Mutex
	mode   promotionMode
	late   time.Duration
	report func(changeStep, string)
}

func (e *promotionEndpoint) set(mode promotionMode, late time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode, e.late = mode, late
}

func (e *promotionEndpoint) setReport(report func(changeStep, string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report = report
}

func (e *promotionEndpoint) serve(w http.ResponseWriter, r *http.Request) {
	call, err := standin.ReadPromotionCall(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	mode, late, report := e.mode, e.late, e.report
	e.mu.Unlock()
	received := e.fleet.disturb("call of %s for %s, token %d, promotion endpoint %s", call.Holder, call.Database, call.Token, mode)
	received()
	if report != nil {
		report(stepCalled, string(call.Holder))
	}
	carryOut := func() error {
		err := e.fleet.promote(call)
		if err == nil && report != nil {
			time.AfterFunc(350*time.Millisecond, func() { report(stepEffective, string(call.Holder)) })
		}
		return err
	}
	switch mode {
	case promotionSilent:
		<-r.Context().Done()
	case promotionLate:
		time.AfterFunc(late, func() { _ = carryOut() })
		<-r.Context().Done()
	case promotionReset:
		time.AfterFunc(late, func() { _ = carryOut() })
		panic(http.ErrAbortHandler)
	case promotionAnswerLost:
		_ = carryOut()
		<-r.Context().Done()
	case promotionBusy:
		http.Error(w, "busy", http.StatusServiceUnavailable)
	case promotionSlow:
		time.Sleep(late)
		fallthrough
	default:
		if err := carryOut(); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
		}
	}
}

// promote carries out a promotion call.
func (f *fleet) promote(call state.PromotionCall) error {
	for _, g := range f.groups {
		if g.id == call.Group {
			return g.Promoter().Promote(f.t.Context(), call)
		}
	}
	return fmt.Errorf("no group %s", call.Group)
}
