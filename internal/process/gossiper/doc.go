// Package gossiper maintains the membership of the deployment with the SWIM
// protocol: direct and indirect probes, suspicion, refutation and piggybacked
// rumours. It also spreads leaving marks of endpoints, the newest revision of
// the configuration and, within a cell, small load digests. The traffic that a
// node sends does not grow with the number of nodes.
package gossiper
