package control

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/catalog"
)

var _ = ginkgo.Describe("a proof from the leader", func() {
	start := time.Unix(1_700_000_000, 0)
	viewOf := func(settings, document uint64) *view {
		return &view{settings: versionView(settings), document: &catalog.Document{Version: document}}
	}

	// After a loss of power a control VM holds an old snapshot until its log is
	// committed again. An entry VM that takes the old document from it answers
	// 404 to requests that the newest one allows.
	ginkgo.It("does not show an older document or older settings to be current", func() {
		leaderView := viewOf(4, 48)
		leaderView.proof = start
		leader := newHub("l", "l:1", simTerm, simExpiry)
		follower := newHub("f", "f:1", simTerm, simExpiry)
		behind := viewOf(4, 2)
		rep := follower.report(start, behind)
		follower.takeReply(start, start, rep, leader.takeReport(start, leaderView, rep, nil))
		Expect(follower.proofAt(behind)).To(BeZero())
		Expect(follower.proofAt(viewOf(3, 48))).To(BeZero())
		Expect(follower.proofAt(viewOf(4, 48))).To(Equal(start))
	})
})
