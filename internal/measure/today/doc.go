// Package today measures an installation of the size of each of today's two
// deployments, on loopback and with their latencies: the share of reads that
// replicas serve, the failover gap, goodput and fairness under a flood, and
// the cost of the proxy itself. Each measure is taken beside baselines in the
// same run. It uses the stand-ins for databases, platform and network.
package today
