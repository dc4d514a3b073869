package council

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Configuration returns the operators' configuration row with two routes to a
// group: desk reads from the primary, cab reads its own writes.
func Configuration(version uint64, group state.GroupID) []byte {
	return fmt.Appendf(nil, `{"Version":%d,"Routes":[
		{"Host":"desk","Type":"primary","TimeoutMs":2000,"SloMs":2000,"Prio":1,"Backend":%[2]q},
		{"Host":"cab","Type":"session","TimeoutMs":2000,"SloMs":2000,"Prio":2,"Backend":%[2]q,"MaxStalenessMs":2500}],
		"Backends":[{"Name":%[2]q,"MaxConns":22,"SyncReplicas":0}],"Limits":{"TxIdleMs":3000}}`, version, group)
}

// ConfigurationWithWorkspace is Configuration with a workspace that holds the given
// keys, without which the routes can't be used.
func ConfigurationWithWorkspace(version uint64, group state.GroupID, keys ...string) []byte {
	plain := Configuration(version, group)
	return fmt.Appendf(plain[:len(plain)-1], `,"Tenants":[{"Name":"w1","ApiKeys":["%s"],"RatePerS":2000,"Burst":2000}]}`, strings.Join(keys, `","`))
}

// Route is a route of FleetConfiguration.
type Route struct {
	Name        string
	Group       state.GroupID
	Consistency state.Consistency
	Timeout     time.Duration
	Objective   time.Duration
	// MaxStaleness is 0 for routes that read from the primary.
	MaxStaleness time.Duration
}

// FleetConfiguration returns the operators' configuration row with the given routes, to
// groups whose databases each accept a number of connections.
func FleetConfiguration(version uint64, groups []state.GroupID, maxConnections, syncReplicas int, routes []Route) ([]byte, error) {
	type object map[string]any
	var backends, encoded []object
	for _, group := range groups {
		backends = append(backends, object{"Name": group, "MaxConns": maxConnections, "SyncReplicas": syncReplicas})
	}
	for _, r := range routes {
		route := object{
			"Host": r.Name, "Type": r.Consistency.String(), "TimeoutMs": r.Timeout.Milliseconds(), "SloMs": r.Objective.Milliseconds(),
			"Prio": 1, "Backend": r.Group,
		}
		if r.MaxStaleness > 0 {
			route["MaxStalenessMs"], route["Prio"] = r.MaxStaleness.Milliseconds(), 2
		}
		encoded = append(encoded, route)
	}
	return json.Marshal(object{"Version": version, "Routes": encoded, "Backends": backends, "Limits": object{"TxIdleMs": 3000}})
}

// Addresses holds the addresses on which an instance listens, and those of the
// platform's services.
type Addresses struct {
	Clients, Ready, Store, Promotions string
	PeerPort                          string
	// Zone is the instance's data centre, "z" if it is empty. Zones holds all of them,
	// each as a region of its own.
	Zone  string
	Zones []string
	// GraceS is how long a graceful stop may take, three seconds if it is 0.
	GraceS int
}

// SettingsFile returns the settings file of an instance on the local machine.
func SettingsFile(instance state.InstanceID, a Addresses) string {
	zone, grace := cmp.Or(a.Zone, "z"), cmp.Or(a.GraceS, 3)
	text := fmt.Sprintf("Node = %q\nIp = \"127.0.0.1\"\nZone = %q\nRegion = %q\nHeartbeatMs = 1200\nPortRange = [%s]\n"+
		"[Listen]\nFront = %q\nReady = %q\n[Limits]\nMemoryMb = 284\nMaxFds = 4300\n[Bounds]\nGraceS = %d\n[platform]\nAddr = %q\n[Cloud]\nAddr = %q\n",
		instance, zone, region(zone, a.Zones), a.PeerPort, a.Clients, a.Ready, grace, a.Store, a.Promotions)
	if len(a.Zones) > 0 {
		text += "[Zones]\n"
	}
	for _, zone := range a.Zones {
		text += fmt.Sprintf("%q = %q\n", zone, region(zone, a.Zones))
	}
	return text
}

// region returns the region of a zone: none if the zones have none.
func region(zone string, zones []string) string {
	if len(zones) == 0 {
		return ""
	}
	return "region-" + zone
}
