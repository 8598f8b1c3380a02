// Package placement chooses a runner for a request from what this VM knows: its
// own requests in flight, the load that runners report in their responses, and
// the prompt prefixes that it has sent to them. The selection functions are
// deterministic: the caller passes in the time. A Registry must be guarded by
// one goroutine or one lock.
package placement
