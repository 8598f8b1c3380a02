// Package load drives entry VMs with an open-loop load and checks every
// response against its own request. Requests are sent at scheduled times and
// latencies count from the scheduled time, so that a stall of the system or of
// the generator shows in them.
package load
