// Package placement chooses a runner for a request from what this VM knows: its
// own requests under way, the load that runners tell with their responses, and
// the prompt parts that it has sent them. Choosers are pure: the time and the
// randomness are passed in. A Book is owned by one goroutine or one lock.
package placement
