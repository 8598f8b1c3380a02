// Package virtualtime is a discrete-event simulator for experiments with routing,
// retry, budget and admission policies. It contains a virtual clock with an event
// queue, random distributions and statistics. Only tests use it. It does not read
// the wall clock, so that a run depends only on the seed of its random source. It
// is not safe for concurrent use.
package virtualtime
