package audit

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m, 60) }

func TestAudit(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "audit")
}

func testSession(vm string) ids.SessionID {
	return ids.SessionID{VM: ids.VMID(vm), Incarnation: 7}
}

func testRecord(s ids.SessionID, seq uint64, k Kind) Record {
	return Record{Kind: k, Request: ids.RequestID{Session: s, Seq: seq}, AtUnixMS: int64(seq) * 10, Workspace: "fittings", Stage: "encode"}
}
