package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Ports on the addresses of a play. Each machine has an address of its own.
const (
	storePort    = 8783
	cloudPort    = 8784
	frontPort    = 8785
	readyPort    = 8786
	peerPort     = 7440
	metricsPort  = 9464
	databasePort = 8080
)

// freeBlock returns the first three numbers of loopback addresses that nobody listens on.
func freeBlock() (string, error) {
	for range 100 {
		block := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", block, storePort))
		if err != nil {
			continue
		}
		return block, listener.Close()
	}
	return "", fmt.Errorf("%w: no free loopback addresses", errSetup)
}

// address returns the address of a machine's port.
func (c *cluster) address(machine, port int) string {
	return fmt.Sprintf("%s.%d:%d", c.block, machine, port)
}

// process is one machine with the entry program.
type process struct {
	cluster  *cluster
	name, ip string
	settings string
	// platform is the machine at whose addresses the platform is reached: its own, or that
	// of link.
	platform int
	link     *machineLink

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// processes holds the processes that were started, so that all can be ended.
var processes struct {
	sync.Mutex
	all []*process
}

func killAll() {
	processes.Lock()
	defer processes.Unlock()
	for _, p := range processes.all {
		p.kill()
	}
}

// addInstance starts the entry program on the n-th machine.
func (c *cluster) addInstance(n int) error {
	zone := c.deployment.zones[n%len(c.deployment.zones)]
	p := &process{cluster: c, name: fmt.Sprintf("front-%s-%d", zone, n+1), ip: fmt.Sprintf("%s.%d", c.block, 11+n)}
	p.settings = c.path(p.name + ".toml")
	p.platform = 1
	if c.deployment.links {
		p.platform = 201 + n
		p.link = &machineLink{record: c.record, name: p.name}
		for _, port := range []int{storePort, cloudPort} {
			if err := p.link.serve(c.address(p.platform, port), c.address(1, port)); err != nil {
				return err
			}
		}
	}
	if err := os.WriteFile(p.settings, []byte(c.settings(p, zone)), 0o600); err != nil {
		return err
	}
	c.instances = append(c.instances, p)
	processes.Lock()
	processes.all = append(processes.all, p)
	processes.Unlock()
	return p.start()
}

// settings returns the settings file of a machine, with the figures of the small sites.
func (c *cluster) settings(p *process, zone string) string {
	var zones strings.Builder
	for _, z := range c.deployment.zones {
		fmt.Fprintf(&zones, "%s = \"region-%s\"\n", z, z)
	}
	return fmt.Sprintf(`Node = %q
Role = "entry"
Class = "front"
Serves = ["front"]
Ip = %q
Zone = %q
Region = "region-%s"
PortRange = [%d,%d]
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = %d
Contracts = ["base","drain","config","cost","recover","sql","platform"]
[Zones]
%s[Listen]
Front = "%s:%d"
Ready = "%s:%d"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4300
LinkMbps = 1000.0
DiskMb = 0
[Tolerate]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableMs = 5000
AckMs = 6000
CatchupS = 4
DrainMs = 7000
GraceS = %d
LostSlackMs = 200
ConfigApplyMs = 3000
DowngradeMs = 250
SkewMaxMs = 15000
RecoverS = 12
RequireFence = false
ThawMs = 300
[platform]
Addr = %q
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TxMs = 3.0
PartWritesS = 300
RowBytes = 65536
Across = true
HistoryS = 20
[Cloud]
Addr = %q
RatePerS = 50.0
Duties = ["failover"]
DutyPerS = 50.0
`, p.name, p.ip, zone, zone, peerPort, peerPort+15, heartbeatInterval.Milliseconds(), zones.String(),
		p.ip, frontPort, p.ip, readyPort, graceSeconds, c.address(p.platform, storePort), c.address(p.platform, cloudPort))
}

// start starts the program with the command of deploy/system.toml.
func (p *process) start() error {
	command := exec.Command(p.cluster.program, "entry", "--metrics-port", fmt.Sprint(metricsPort)) //nolint:gosec // the program under test
	command.Env = []string{"CYCLAMENPIN_CONFIG=" + p.settings}
	if folder := p.cluster.logs; folder != "" {
		output, err := os.OpenFile(filepath.Join(folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // the caller's folder
		if err != nil {
			return err
		}
		command.Stdout, command.Stderr = output, output
	}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	p.mu.Lock()
	p.command, p.ended = command, ended
	p.mu.Unlock()
	p.cluster.record.line("%s started, process %d", p.name, command.Process.Pid)
	return nil
}

// kill ends the process at once, as a loss of power does.
func (p *process) kill() {
	p.mu.Lock()
	command, ended := p.command, p.ended
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-ended
}

// front is the address for clients.
func (p *process) front() string { return fmt.Sprintf("%s:%d", p.ip, frontPort) }

// ready asks the ready probe.
func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/cyclamenpin/ready", p.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
