// Package relay forwards TCP connections and UDP packets over simulated network
// links between regions. It simulates a one-way delay and a bandwidth, cuts of
// one or both directions that lose traffic without an error, and connections
// that freeze while new ones work. It counts the bytes per pair of regions.
package relay
