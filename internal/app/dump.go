package app

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/ownership"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Dump is the state dump of an instance. It contains no secrets and no row data.
type Dump struct {
	Instance      state.Instance             `json:"instance"`
	Time          time.Time                  `json:"time"`
	UptimeSeconds float64                    `json:"uptime_seconds"`
	Draining      bool                       `json:"draining"`
	Configuration ConfigurationDump          `json:"configuration"`
	Clients       ClientsDump                `json:"clients"`
	Groups        []ownership.GroupSnapshot  `json:"groups"`
	Connections   []execution.ServerSnapshot `json:"connections"`
	Membership    any                        `json:"membership"`
	PeerLinks     any                        `json:"peer_links"`
	Platform      PlatformDump               `json:"platform"`
}

// ConfigurationDump is the configuration's part of the dump.
type ConfigurationDump struct {
	Revision state.Revision `json:"revision"`
	Plans    int            `json:"plans"`
	Groups   int            `json:"groups"`
}

// ClientsDump is the client sessions' part of the dump.
type ClientsDump struct {
	Connections int                  `json:"connections"`
	ByPlan      map[state.PlanID]int `json:"by_plan"`
}

// PlatformDump is the platform's part of the dump.
type PlatformDump struct {
	Available bool `json:"available"`
}

// Dump returns the instance's current state.
func (i *Instance) Dump() Dump {
	dump := Dump{
		Instance: i.Self(), Time: time.Now().UTC(), UptimeSeconds: time.Since(i.started).Seconds(),
		Draining:    i.draining.Load(),
		Clients:     ClientsDump{Connections: i.clients.Clients(), ByPlan: i.clients.CountByPlan()},
		Groups:      i.ownership.Snapshot(),
		Connections: i.owner.Snapshot(),
		Membership:  i.membership.Snapshot(),
		PeerLinks:   i.peerClient.Snapshot(),
		Platform:    PlatformDump{Available: i.platform.Available()},
	}
	dump.Configuration.Groups = len(i.groups.IDs())
	if configuration := i.follower.Current(); configuration != nil {
		dump.Configuration.Revision = configuration.Revision
		dump.Configuration.Plans = len(configuration.Plans)
	}
	return dump
}
