// Package quarantine finds the parts of prompts that end every engine which
// begins to answer them, and keeps them away from engines.
//
// Each entry VM collects Evidence: which runners were lost with which parts of
// prompts in flight, and which parts have been answered. The control VM that
// leads joins the reports of all entry VMs in a Detector, because each of them sees
// only a few of the crashes. It quarantines a part once several runners were
// lost with it and no entry VM has had an answer with it; parts that were only
// in flight beside it share their crashes with it and stay free.
//
// The package does no I/O and reads no clock.
package quarantine
