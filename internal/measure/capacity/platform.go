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

// unlimited is a budget of platform requests that no measurement exhausts.
const unlimited = 1 << 20

// platformService is the platform's stand-in behind HTTP on loopback, and a
// client of it whose bytes are counted.
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

// cost returns the bytes and the processor time in microseconds of one call,
// the stand-in's share included. The first call is left out.
func (s *platformService) cost(call func() error) (bytes, processor float64, err error) {
	const calls = 20
	if err := call(); err != nil {
		return 0, 0, err
	}
	bytesBefore, timeBefore := s.traffic.bytes(), processorTime()
	for range calls {
		if err := call(); err != nil {
			return 0, 0, err
		}
	}
	return (s.traffic.bytes() - bytesBefore) / calls, microseconds(processorTime()-timeBefore) / calls, nil
}

func (s *platformService) close() {
	s.client.Close()
	_ = s.http.Close()
}
