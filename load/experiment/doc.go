// Package experiment runs scenarios of faults and load against a cluster of
// entry VMs and a fleet of simulated upstreams, with several seeds and
// baselines, and gives one row for each run.
package experiment
