// Package gossiper keeps the membership of the deployment: a SWIM protocol
// with direct and indirect probes, suspicion, refutation and piggybacked
// rumours. Besides members it spreads leaving marks of endpoints, the newest
// revision of the configuration, and inside a cell small digests of load. What
// a node sends does not grow with the number of nodes.
package gossiper
