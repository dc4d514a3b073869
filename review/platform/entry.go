package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// program is the project's build, with the arguments of the deploy file.
const program = "target/cyclamenpin"

// entry is one entry instance, a process of its own, with its links to the platform.
type entry struct {
	name           string
	zone           string
	front, ready   string
	peerPort       int
	metricsPort    int
	settings       string
	store, promote *proxy
	log            *os.File
	record         *record

	process *exec.Cmd
	exited  chan struct{}
}

// The ports of instances lie below those that the kernel gives to clients, so that no
// connection takes one between its choice and the start of the process.
const (
	firstPort = 20000
	lastPort  = 32000
)

// chosenPorts are the ports that this case uses.
var chosenPorts = make(map[int]bool)

// freePorts returns ports that are free now, for TCP and UDP, and were not chosen before.
func freePorts(count int) ([]int, error) {
	const attempts = 200
	var ports []int
	for range attempts {
		if len(ports) == count {
			return ports, nil
		}
		port := firstPort + rand.N(lastPort-firstPort)
		if chosenPorts[port] {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer listener.Close()
		packets, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		defer packets.Close() //nolint:errcheck // it only reserves the port
		chosenPorts[port] = true
		ports = append(ports, port)
	}
	return nil, errors.New("no free ports")
}

// newEntry writes an instance's settings file.
func newEntry(folder, name, zone, storeAddress, promoteAddress string, r *record) (*entry, error) {
	e := &entry{name: name, zone: zone, settings: filepath.Join(folder, name+".toml"), record: r}
	var err error
	if e.store, err = newProxy(storeAddress); err != nil {
		return nil, err
	}
	if e.promote, err = newProxy(promoteAddress); err != nil {
		return nil, err
	}
	if e.log, err = os.Create(filepath.Join(folder, name+".log")); err != nil { //nolint:gosec // a temporary folder of the case
		return nil, err
	}
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	e.front, e.ready = fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
	e.peerPort, e.metricsPort = ports[2], ports[3]
	text := fmt.Sprintf(`Node = %q
Role = "entry"
Class = "front"
Serves = ["front"]
Ip = "127.0.0.1"
Zone = %q
Region = "r1"
PortRange = [%d, %d]
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = %d
Contracts = ["base", "drain", "config", "cost", "recover", "sql", "platform"]
[Zones]
z1 = "r1"
z2 = "r1"
z3 = "r1"
[Listen]
Front = %q
Ready = %q
[Limits]
CpuShare = 0.608
Cores = 1
MemoryMb = 414
MaxFds = 6450
LinkMbps = 1500.0
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
DrainMs = %d
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
`, name, zone, e.peerPort, e.peerPort, heartbeat.Milliseconds(), e.front, e.ready, drainTime.Milliseconds(), int(grace.Seconds()),
		e.store.address, e.promote.address)
	return e, os.WriteFile(e.settings, []byte(text), 0o600) //nolint:gosec // a file in the case's temporary folder
}

// start starts the process.
func (e *entry) start() error {
	command := exec.CommandContext(context.Background(), program, "entry", "--metrics-port", fmt.Sprint(e.metricsPort)) //nolint:gosec // the project's own program
	command.Env = []string{"CYCLAMENPIN_CONFIG=" + e.settings, "PATH=" + os.Getenv("PATH")}
	command.Stdout, command.Stderr = e.log, e.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	e.process, e.exited = command, make(chan struct{})
	exited := e.exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	e.record.note(e.name, "starts")
	return nil
}

// kill ends the process with SIGKILL.
func (e *entry) kill() {
	if e.process == nil {
		return
	}
	_ = e.process.Process.Kill()
	<-e.exited
	e.record.note(e.name, "was killed")
	e.process = nil
}

// cutPlatform cuts the instance from the store and the promotion endpoint.
func (e *entry) cutPlatform() {
	e.store.cut()
	e.promote.cut()
	e.record.say("%s is cut off from the platform", e.name)
}

func (e *entry) healPlatform() {
	e.store.heal()
	e.promote.heal()
	e.record.say("%s reaches the platform again", e.name)
}

// isReady asks the instance as the platform's balancer does.
func (e *entry) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.ready + "/cyclamenpin/ready") //nolint:gosec // a loopback address of the case
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the instance is ready.
func (e *entry) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if e.isReady() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after %v", e.name, limit)
}

// decisions returns the lines of the instance's log that hold any of the texts.
func (e *entry) decisions(texts ...string) []string {
	content, err := os.ReadFile(e.log.Name()) //nolint:gosec // a file in the case's temporary folder
	if err != nil {
		return nil
	}
	var found []string
	for line := range strings.Lines(string(content)) {
		for _, text := range texts {
			if strings.Contains(line, text) {
				found = append(found, strings.TrimSpace(line))
				break
			}
		}
	}
	return found
}

func contextForever() context.Context { return context.Background() }
