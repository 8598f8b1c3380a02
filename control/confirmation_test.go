package control

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/catalog"
)

var _ = ginkgo.Describe("a confirmation from the leader", func() {
	start := time.Unix(1_700_000_000, 0)
	viewOf := func(settings, document uint64) *view {
		return &view{settings: versionView(settings), document: &catalog.Document{Version: document}}
	}

	// Guards against stale reads after a power loss: a control VM then holds an
	// old snapshot until its log is committed again. An entry VM that received
	// the old document would answer 404 to requests that the newest one allows.
	ginkgo.It("does not cover an older document or older settings", func() {
		leaderView := viewOf(4, 48)
		leaderView.confirmedAt = start
		leader := newSoftState("l", "l:1", simLeaseTerm, simSessionExpiry)
		follower := newSoftState("f", "f:1", simLeaseTerm, simSessionExpiry)
		behind := viewOf(4, 2)
		rep := follower.buildReport(start, behind)
		follower.applyReportReply(start, start, rep, leader.handleReport(start, leaderView, rep, nil))
		Expect(follower.confirmedAt(behind)).To(BeZero())
		Expect(follower.confirmedAt(viewOf(3, 48))).To(BeZero())
		Expect(follower.confirmedAt(viewOf(4, 48))).To(Equal(start))
	})
})
