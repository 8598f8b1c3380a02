package jsonlist

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m, 2000) }

// element returns an element as a sound writer writes it.
func element(id string) string {
	return fmt.Sprintf(`{"address":"10.0.0.1:8080","slots":6,"models":[{"name":"m","version":1,"adapters":[]},{"name":"n"}],"id":%q}`, id)
}

func document(elements ...string) string {
	return `{"list":[` + strings.Join(elements, ",") + `],"next":"p-50"}`
}

// splitIDs returns the IDs of the elements that decode, and the field "next".
func splitIDs(doc string) (ids []string, next string, err error) {
	elements, around, err := Split([]byte(doc), "list")
	if err != nil {
		return nil, "", err
	}
	for _, raw := range elements {
		var e struct{ ID, Address string }
		if json.Unmarshal(raw, &e) == nil && e.ID != "" && e.Address != "" {
			ids = append(ids, e.ID)
		}
	}
	var rest struct {
		List []any
		Next string
	}
	err = json.Unmarshal(around, &rest)
	return ids, rest.Next, err
}

// TestOddElement guards against elements that are lost with one that was cut at any
// byte, or in which bytes were overwritten.
func TestOddElement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		odd := []byte(element("odd"))
		for range rapid.IntRange(0, 3).Draw(t, "overwritten") {
			odd[rapid.IntRange(0, len(odd)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		odd = odd[:rapid.IntRange(0, len(odd)).Draw(t, "length")]
		elements := []string{element("a-1"), element("b-2"), element("c-3")}
		at := rapid.IntRange(0, 3).Draw(t, "position")
		elements = slices.Insert(elements, at, string(odd))
		ids, next, err := splitIDs(document(elements...))
		if err != nil {
			t.Fatal(err)
		}
		for _, want := range []string{"a-1", "b-2", "c-3"} {
			if !slices.Contains(ids, want) {
				t.Fatalf("%s is lost: read %v", want, ids)
			}
		}
		if next != "p-50" {
			t.Fatalf("next is %q", next)
		}
	})
}

// TestManyOddElements guards against sound elements that are lost because many others
// are odd.
func TestManyOddElements(t *testing.T) {
	odd := map[string]string{
		"cut inside a string":       `{"id":"x","service":"other","address":"127.9.9.9:80`,
		"cut inside a list":         `{"id":"x","models":[{"name":"m"},{"name":"n"}`,
		"cut inside an object":      `{"id":"x","models":[{"name":"m"`,
		"with a bracket too many":   `{"id":"x"}}`,
		"nested very deeply":        `{"a":` + strings.Repeat(`[`, 11_000) + strings.Repeat(`]`, 11_000) + `}`,
		"of bytes that are no JSON": `odd`,
		"empty":                     ``,
	}
	for name, text := range odd {
		for _, count := range []int{1, 32, 33, 400} {
			t.Run(fmt.Sprint(count, " ", name), func(t *testing.T) {
				var elements, want []string
				for n := range count {
					id := fmt.Sprint("s-", n)
					elements = append(elements, text, element(id))
					want = append(want, id)
				}
				elements = append(elements, text)
				ids, next, err := splitIDs(document(elements...))
				if err != nil || next != "p-50" || !slices.Equal(ids, want) {
					t.Fatalf("%d of %d elements, next %q, %v", len(ids), len(want), next, err)
				}
			})
		}
	}
}

// BenchmarkSplit measures documents of 1 MB and of 100 KB whose every second element is
// torn.
func BenchmarkSplit(b *testing.B) {
	for _, size := range []int{100_000, 1_000_000} {
		for _, text := range []string{`{"id":"x","service":"other","address":"127.9.9.9:80`, `{"id":"x","models":[{"name":"m"`} {
			var elements []string
			for n, bytes := 0, 0; bytes < size; n++ {
				elements = append(elements, text, element(fmt.Sprint("s-", n)))
				bytes += len(text) + len(elements[len(elements)-1])
			}
			doc := []byte(document(elements...))
			b.Run(fmt.Sprintf("%d/%.32s", size, text), func(b *testing.B) {
				b.SetBytes(int64(len(doc)))
				for b.Loop() {
					if _, _, err := Split(doc, "list"); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// TestTooManyTorn guards against a document that keeps the process busy for long.
func TestTooManyTorn(t *testing.T) {
	for _, doc := range []string{
		`{"list":[` + strings.Repeat(`{"a":,{`, 1<<20),
		`{"list":[` + strings.Repeat(`[`, 1<<20) + strings.Repeat(`]`, 1<<20),
		`{"list":[{"a":` + strings.Repeat(`[`, 1<<20) + strings.Repeat(`]}`, 1<<20),
		`{"list":[` + strings.Repeat(`"`, 1<<20+1),
	} {
		if _, _, err := Split([]byte(doc), "list"); err == nil {
			t.Errorf("%.40q was read", doc)
		}
	}
}

// FuzzSplit guards against a document that ends the process, and against elements
// of a sound document that are lost.
func FuzzSplit(f *testing.F) {
	f.Add(document(element("a")))
	f.Add(document(`{"id":`, element("a"), "]", `"`))
	f.Fuzz(func(t *testing.T, doc string) {
		elements, around, err := Split([]byte(doc), "list")
		if err == nil && !json.Valid(around) {
			t.Fatalf("%d elements in a document that is no JSON", len(elements))
		}
	})
}
