// Package virtualtime has what the experiments of the decision packages share:
// a clock with an event queue, random draws and statistics. It is used from
// tests only. Nothing in it reads the wall clock, so that a run depends on the
// seed of its random source alone. It is not safe for concurrent use.
package virtualtime
