package peerlink

import "github.com/VictoriaMetrics/metrics"

var (
	probesSent    = metrics.GetOrCreateCounter(`cyclamenpin_peer_probes_total`)
	silentLinks   = metrics.GetOrCreateCounter(`cyclamenpin_peer_silent_links_total`)
	dialsDone     = metrics.GetOrCreateCounter(`cyclamenpin_peer_dials_total{result="done"}`)
	dialsFailed   = metrics.GetOrCreateCounter(`cyclamenpin_peer_dials_total{result="failed"}`)
	linksAccepted = metrics.GetOrCreateCounter(`cyclamenpin_peer_accepts_total{result="done"}`)
	linksRefused  = metrics.GetOrCreateCounter(`cyclamenpin_peer_accepts_total{result="refused"}`)
)
