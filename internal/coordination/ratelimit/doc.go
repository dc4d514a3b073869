// Package ratelimit keeps the limits of workspaces over all instances.
//
// Workspaces hash onto a few shards. For each shard an instance pledges itself to one
// other instance at a time, the shard's home, with the weight of its equal share. A
// home keeps a token bucket for each workspace whose rate and capacity are the limit's
// times the sum of the pledges that it holds. As an instance is pledged to one home at
// most, all buckets of a workspace together never exceed its limit, whichever homes
// the instances believe in.
//
// Instances ask the home for permits, which are valid for a short time. While no home
// answers, an instance admits its equal share of what the limit tolerates in excess.
//
// Locks: Limiter.mu is a leaf, except that the configuration and the standing may be
// read while it is held. Messages are sent without it.
package ratelimit
