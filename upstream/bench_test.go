package upstream

import (
	"encoding/json"
	"fmt"
	"testing"
)

// BenchmarkMembersDecode measures decoding a membership list of 12,000 runners and
// reports its size. Each entry VM reads the whole list once a second.
func BenchmarkMembersDecode(b *testing.B) {
	const runners = 12_000
	list := MemberList{Seq: 1, AtUnixMS: 1_796_357_418_775}
	for i := range runners {
		list.Members = append(list.Members, Member{
			VM: fmt.Sprintf("engine-%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:9000", i%8, i/250%250, i%250),
			Pool: fmt.Sprintf("pool-%d", i%34), Region: fmt.Sprintf("region-%d", i%8), State: "live",
		})
	}
	raw, err := json.Marshal(list)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var out MemberList
		if err := json.Unmarshal(raw, &out); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(raw)), "list-bytes")
}
