// Package relay forwards TCP connections and UDP packets over simulated links
// between regions: with a one-way delay and a bandwidth, with silent cuts in
// one or both directions, with connections that freeze while new ones work,
// and with byte counts by pair of regions.
package relay
