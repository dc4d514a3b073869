package ratelimit

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/test/modelcheck"
)

// The model of pledges: two instances, of which the second joins late, both homes of
// one shard. Time passes in ticks for all; ages stop where they no longer matter. A
// nonce or a pledge on its way may be late, lost or arrive twice.
const (
	modelPledge = 2
	// modelRows is how old the rows may be that an instance relies on.
	modelRows = 1
	modelJoin = modelRows + modelPledge
	// modelUnit is the weight of an instance that counts itself only.
	modelUnit = 2
)

// modelRules are promises broken on purpose.
type modelRules struct {
	countFromReceipt, pledgeAnywhere, restartAtOnce, joinAtOnce, oldRows, keepTokens bool
	oneForgets, forgetsNothing, acceptsLate                                          bool
}

type modelInstance struct {
	up bool
	// nonce is the age of the last nonce, of the home from, -1 for none; got is the
	// time since it was received.
	from, nonce, got int8
	// left is the time for which the instance believes that its pledge to the home
	// `to` may last.
	to, left int8
	since    int8 // its start
}

// modelHome holds an instance's pledge for left ticks, with a weight.
type modelHome struct {
	left, weight [2]int8
	tokens       int8
}

// modelMessage is a nonce from a home to an instance, or a pledge.
type modelMessage struct {
	pledge, used bool
	instance     int8
	home, age    int8
	weight       int8
	earlier      bool // of an earlier run
}

type modelState struct {
	instances [2]modelInstance
	homes     [2]modelHome
	message   modelMessage
	restarted bool
	// forgot says which homes have forgotten the first instance's earlier run.
	forgot [2]bool
	// rows is the age of the rows that the first instance has read, and knows whether
	// they held both. It reads none while cut from the store.
	rows       int8
	knows, cut bool
}

func (s *modelState) tick(modelRules) bool {
	for i := range s.instances {
		in := &s.instances[i]
		if in.nonce >= 0 {
			in.nonce, in.got = min(modelPledge, in.nonce+1), in.got+1
		}
		if in.got >= modelPledge { // too old for a pledge
			in.from, in.nonce, in.got = 0, -1, 0
		}
		if in.left = max(0, in.left-1); in.left == 0 {
			in.to = 0
		}
		if in.up {
			in.since = min(modelJoin, in.since+1)
		}
	}
	s.rows = min(modelRows, s.rows+1)
	s.message.age = min(modelPledge, s.message.age+1)
	if !s.message.used {
		s.message = modelMessage{}
	}
	for h := range s.homes {
		home := &s.homes[h]
		if home.tokens < home.weight[0]+home.weight[1] {
			home.tokens++
		}
		for i := range home.left {
			if home.left[i] = max(0, home.left[i]-1); home.left[i] == 0 {
				home.weight[i] = 0
			}
		}
	}
	return true
}

// cutTokens cuts a home's bucket to its capacity.
func (s *modelState) cutTokens(rules modelRules) {
	for h := range s.homes {
		home := &s.homes[h]
		if !rules.keepTokens {
			home.tokens = min(home.tokens, home.weight[0]+home.weight[1])
		}
	}
}

// step applies one step and reports whether it was possible.
func (s *modelState) step(name string, i, h int, rules modelRules) bool {
	in := &s.instances[i]
	if name != "join" && name != "lose" && !in.up {
		return false
	}
	switch name {
	case "send nonce": // replaces what is on its way, which is then lost
		s.message = modelMessage{used: true, instance: int8(i), home: int8(h)}
	case "send pledge":
		weight := int8(modelUnit / 2)
		if i == 0 && !s.knows {
			weight = modelUnit
		}
		established := i == 0 || rules.joinAtOnce || in.since >= modelJoin
		fresh := i == 1 || s.rows < modelRows || rules.oldRows
		free := in.left == 0 || in.to == int8(h) || rules.pledgeAnywhere
		forgotten := s.forgot[0] && s.forgot[1] || rules.oneForgets && (s.forgot[0] || s.forgot[1])
		waited := i == 1 || in.since >= modelPledge || rules.restartAtOnce || forgotten
		left := int8(modelPledge) - in.got
		if in.nonce < 0 || in.from != int8(h) || !established || !fresh || !free || !waited {
			return false
		}
		s.message = modelMessage{pledge: true, used: true, instance: int8(i), home: int8(h), age: in.nonce, weight: weight}
		in.to, in.left = int8(h), max(in.left, left)
	case "lose":
		s.message = modelMessage{}
	case "read":
		if s.cut {
			return false
		}
		s.rows, s.knows = 0, s.instances[1].up
	case "cut":
		s.cut = true
	case "join":
		if i != 1 || in.up {
			return false
		}
		*in = modelInstance{up: true, nonce: -1}
	case "restart": // the nonce on its way is for the earlier run
		if s.restarted || i != 0 {
			return false
		}
		s.restarted = true
		*in = modelInstance{up: true, nonce: -1}
		if !s.message.pledge && s.message.instance == 0 {
			s.message = modelMessage{}
		}
		s.message.earlier = s.message.pledge && s.message.instance == 0
	case "forget":
		if i != 0 || !s.restarted || s.forgot[h] || in.since >= modelPledge || in.to != 0 || in.left != 0 {
			return false
		}
		s.forgot[h] = true
		if !rules.forgetsNothing {
			s.homes[h].left[0], s.homes[h].weight[0] = 0, 0
		}
	default:
		return false
	}
	return true
}

// deliver hands the message over. It stays on its way, so that it may arrive again.
func (s *modelState) deliver(rules modelRules) bool {
	m := s.message
	in := &s.instances[m.instance]
	if !m.used {
		return false
	}
	if !m.pledge {
		if !in.up {
			return false
		}
		in.from, in.nonce, in.got = m.home, m.age, 0
		return true
	}
	if m.earlier && s.forgot[m.home] && !rules.acceptsLate {
		return false
	}
	left := int8(modelPledge) - m.age
	if rules.countFromReceipt {
		left = modelPledge
	}
	if left <= 0 {
		return false
	}
	home := &s.homes[m.home]
	home.left[m.instance], home.weight[m.instance] = left, m.weight
	return true
}

func (s *modelState) violation() string {
	weight, tokens := int8(0), int8(0)
	for _, home := range s.homes {
		weight += home.weight[0] + home.weight[1]
		tokens += home.tokens
	}
	switch {
	case weight > modelUnit:
		return "pledges of more than the whole"
	case tokens > modelUnit:
		return "more than a full bucket"
	}
	return ""
}

func modelSteps(rules modelRules) []modelcheck.Step[modelState] {
	var steps []modelcheck.Step[modelState]
	add := func(name string, apply func(s *modelState) bool) {
		steps = append(steps, modelcheck.Step[modelState]{Name: name, Apply: func(s *modelState) bool {
			if !apply(s) {
				return false
			}
			s.cutTokens(rules)
			return true
		}})
	}
	add("tick", func(s *modelState) bool { return s.tick(rules) })
	add("deliver", func(s *modelState) bool { return s.deliver(rules) })
	for _, name := range []string{"send nonce", "send pledge", "lose", "read", "cut", "join", "restart", "forget"} {
		for k := range 4 {
			add(fmt.Sprintf("%s %d %d", name, k/2, k%2), func(s *modelState) bool { return s.step(name, k/2, k%2, rules) })
		}
	}
	return steps
}

// exploreModel visits all states.
func exploreModel(rules modelRules) (states int, trace string) {
	first := modelState{}
	first.instances[0] = modelInstance{up: true, nonce: -1, since: modelJoin}
	first.instances[1].nonce = -1
	return modelcheck.Explore(first, modelSteps(rules), (*modelState).violation)
}

// No interleaving of late, lost and repeated messages, a join and a restart lets the
// homes hold more than the whole limit.
func TestModelOfPledgesHolds(t *testing.T) {
	states, trace := exploreModel(modelRules{})
	t.Logf("%d states", states)
	require.Empty(t, trace)
}

// Each rule is needed: without it the model finds a violation.
func TestModelOfPledgesNeedsEachRule(t *testing.T) {
	for name, rules := range map[string]modelRules{
		"a pledge counts from its nonce":   {countFromReceipt: true},
		"a pledge ends before the next":    {pledgeAnywhere: true},
		"a restarted instance waits":       {restartAtOnce: true},
		"an instance that joined waits":    {joinAtOnce: true},
		"old rows give no share":           {oldRows: true},
		"buckets are cut when pledges end": {keepTokens: true},
		"both homes forget":                {oneForgets: true},
		"a home forgets the pledge":        {forgetsNothing: true},
		"a home accepts no late pledge":    {acceptsLate: true},
	} {
		t.Run(name, func(t *testing.T) {
			states, trace := exploreModel(rules)
			t.Logf("%d states: %s", states, trace)
			require.NotEmpty(t, trace)
		})
	}
}
