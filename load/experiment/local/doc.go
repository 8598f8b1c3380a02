// Package local starts the deployments of experiments in the same process, on
// loopback.
package local
