// Package today measures the proxy at the size and with the network latencies
// of each of the two present deployments, on loopback: the share of reads that
// replicas serve, the failover gap, goodput and fairness under a flood, and
// the cost of the proxy itself. Reads, flood and cost are compared with
// baselines that are measured in the same run. It uses the stand-ins for
// databases, platform and network.
package today
