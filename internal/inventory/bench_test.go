package inventory

import (
	"fmt"
	"testing"
)

func manyServers(n int) []Server {
	out := make([]Server, n)
	for i := range out {
		out[i] = Server{ID: fmt.Sprintf("s%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Zone: "a",
			Pod: fmt.Sprint(i / 4), Size: 1, Phase: Serving, Extra: map[string]string{"rack": fmt.Sprint(i / 40)}}
	}
	return out
}

func BenchmarkParse10000(b *testing.B) {
	for name, raw := range map[string][]byte{"a.csv": WriteCSV(manyServers(10_000)), "a.yaml": WriteYAML(manyServers(10_000))} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(raw)))
			for b.Loop() {
				if _, err := Parse(name, raw, Options{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
