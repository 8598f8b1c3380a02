// Package evacuation holds which data centres are evacuated: nothing more is sent to
// their runners. It is pure state of the replicated machine.
package evacuation
