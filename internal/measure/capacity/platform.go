package capacity

import (
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/standin/platform"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/platformclient"
)

// unlimited is a limit that no measurement reaches. It applies to platform
// requests and to an instance's clients.
const unlimited = 1 << 20

// platformService is the platform stand-in, served over HTTP on loopback, and a
// client whose traffic to it is counted.
type platformService struct {
	server  *platform.Server
	url     string
	http    *http.Server
	client  *platformclient.Client
	traffic *traffic
}

func startPlatform() (*platformService, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for the platform stand-in")
	}
	service := &platformService{
		server: platform.NewServer(), url: "http://" + listener.Addr().String(), traffic: newTraffic(),
	}
	service.http = &http.Server{Handler: service.server.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = service.http.Serve(listener) }()
	service.client, err = platformclient.New(platformclient.Options{
		BaseURL: service.url, ReadsPerSecond: unlimited, ReadBurst: unlimited,
		WritesPerSecond: unlimited, WriteBurst: unlimited,
		Transport: &http.Transport{DialContext: service.traffic.DialContext},
	}, zerolog.Nop())
	if err != nil {
		_ = service.http.Close()
		return nil, err
	}
	return service, nil
}

// callCost is the cost of one call to the platform. The processor time, in
// microseconds, includes that of the stand-in.
type callCost struct {
	firstBytes float64 // of the first call, whose response has new content
	bytes      float64 // mean of the later calls
	processor  float64 // mean of the later calls
}

// measureCall makes a call repeatedly and returns its cost.
func (s *platformService) measureCall(call func() error) (callCost, error) {
	const calls = 20
	before := s.traffic.bytes()
	if err := call(); err != nil {
		return callCost{}, err
	}
	cost := callCost{firstBytes: s.traffic.bytes() - before}
	before, timeBefore := s.traffic.bytes(), processorTime()
	for range calls {
		if err := call(); err != nil {
			return cost, err
		}
	}
	cost.bytes = (s.traffic.bytes() - before) / calls
	cost.processor = microseconds(processorTime()-timeBefore) / calls
	return cost, nil
}

func (s *platformService) close() {
	s.client.Close()
	_ = s.http.Close()
}
