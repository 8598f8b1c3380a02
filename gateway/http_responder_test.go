package gateway

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.DescribeTable("the status of a refusal promises no more than the refusal",
	func(r Refusal, want int) { Expect(statusOf(&r)).To(Equal(want)) },
	ginkgo.Entry("not run", Refusal{Reason: RunnersFull}, 503),
	ginkgo.Entry("not known", Refusal{Reason: NoCatalog}, 503),
	ginkgo.Entry("may have run", Refusal{Reason: AnswerLost, Executed: true}, 502),
	ginkgo.Entry("stages failed after a run", Refusal{Reason: StagesFailed, Executed: true}, 502),
	ginkgo.Entry("time over", Refusal{Reason: TimedOut}, 504),
	ginkgo.Entry("no route", Refusal{Reason: NoRoute}, 404),
	ginkgo.Entry("too many pieces", Refusal{Reason: TooManyPieces}, 400),
	ginkgo.Entry("unknown key", Refusal{Reason: UnknownKey}, 401),
)
