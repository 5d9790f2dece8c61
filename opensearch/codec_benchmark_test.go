package opensearch

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkMessages measures reading a search and the result of its store.
func BenchmarkMessages(b *testing.B) {
	for name, text := range map[string]string{
		"ASCII":     strings.Repeat("5be2a07c19f04d63", 64),
		"non-ASCII": strings.Repeat("Grüße, 東京 ", 64),
	} {
		b.Run(name, func(b *testing.B) {
			search := fmt.Appendf(nil, `{"query":{"match":{"name":%q}},"sort":[{"price":"desc"}],"size":20}`, text)
			hit := fmt.Sprintf(`{"_id":"a","_score":1.5,"_source":{"name":%q,"price":30,"tags":["x","y"]},"sort":[30]}`, text)
			hits := strings.TrimSuffix(strings.Repeat(hit+",", 20), ",")
			result := fmt.Appendf(nil, `{"timed_out":false,"_shards":{"total":1,"failed":0},"hits":{"total":20,"hits":[%s]}}`, hits)
			b.SetBytes(int64(len(search) + len(result)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := parseSearch(search, nil); err != nil {
					b.Fatal(err)
				}
				if _, err := parseResult(result); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
