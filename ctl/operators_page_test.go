package ctl

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/config"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
)

var _ = Describe("docs/operators.md", func() {
	var page string

	BeforeEach(func() {
		b, err := os.ReadFile("../docs/operators.md")
		Expect(err).NotTo(HaveOccurred())
		page = string(b)
	})

	// section returns the table rows between a heading and the next heading.
	section := func(heading string) []string {
		_, rest, found := strings.Cut(page, "\n## "+heading+"\n")
		Expect(found).To(BeTrue(), heading)
		rest, _, _ = strings.Cut(rest, "\n## ")
		var rows []string
		for _, line := range strings.Split(rest, "\n") {
			if strings.HasPrefix(line, "| `") {
				rows = append(rows, line)
			}
		}
		return rows
	}

	// Guards against bounds that change in the program but not on the page, which
	// would mislead operators.
	It("lists every settings key with its unit, default and bounds, and a description", func() {
		rows := section("Settings keys")
		specs := settings.Specs()
		Expect(rows).To(HaveLen(len(specs)))
		for i, s := range specs {
			branch := "any"
			if s.RootOnly {
				branch = "root only"
			}
			want := fmt.Sprintf("| `%s` | %s | %s | %s | %s | ", s.Key, s.Unit, s.Default, s.Allowed(), branch)
			Expect(rows[i]).To(HavePrefix(want))
			Expect(strings.TrimPrefix(rows[i], want)).To(MatchRegexp(`^\S.* \|$`))
		}
	})

	It("describes every kind of problem", func() {
		rows := section("What each problem means for the operator")
		Expect(rows).To(HaveLen(len(problem.Kinds())))
		for _, k := range problem.Kinds() {
			Expect(page).To(ContainSubstring("\n| `" + string(k) + "` | "))
		}
	})

	// Guards against undocumented metrics, on which an operator cannot act.
	It("names every metric that the programs export", func() {
		name := regexp.MustCompile("[\"`](damask_[a-z_]+)")
		for _, file := range []string{
			"../entry/metrics.go", "../control/counters.go", "../control/status.go",
			"../transport/metrics.go", "../audit/writer.go", "../admin/api.go",
		} {
			source, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			found := name.FindAllStringSubmatch(string(source), -1)
			Expect(found).NotTo(BeEmpty(), file)
			for _, m := range found {
				Expect(page).To(MatchRegexp("`"+m[1]+"[`{]"), file)
			}
		}
	})

	// Guards against examples that the programs reject, which would stop a new
	// user at the first step.
	It("has valid examples of settings files and of a document", func() {
		blocks := regexp.MustCompile("(?s)\n```yaml\n(.*?)```\n").FindAllStringSubmatch(page, -1)
		Expect(blocks).To(HaveLen(3))
		dir := GinkgoT().TempDir()
		writeBlock := func(i int) string {
			file := filepath.Join(dir, fmt.Sprintf("%d.yaml", i))
			Expect(os.WriteFile(file, []byte(blocks[i][1]), 0o600)).To(Succeed())
			return file
		}
		control, entry := config.DefaultControl(), config.DefaultEntry()
		Expect(config.Read(writeBlock(0), control)).To(Succeed())
		Expect(config.Read(writeBlock(1), entry)).To(Succeed())
		Expect(control.IsVoter()).To(BeTrue())
		for _, v := range control.Voters {
			Expect(entry.Control).To(ContainElement(v.Address))
		}
		ops, err := settings.ParseDocument("first.yaml", []byte(blocks[2][1]), settings.NewTree())
		Expect(err).NotTo(HaveOccurred())
		Expect(ops).To(HaveLen(10))
	})

	It("has a target for each link to a section", func() {
		headings := map[string]bool{}
		for _, m := range regexp.MustCompile(`(?m)^#+ (.*)$`).FindAllStringSubmatch(page, -1) {
			anchor := regexp.MustCompile(`[^a-z0-9 -]`).ReplaceAllString(strings.ToLower(m[1]), "")
			headings[strings.ReplaceAll(anchor, " ", "-")] = true
		}
		links := regexp.MustCompile(`\]\(#([^)]*)\)`).FindAllStringSubmatch(page, -1)
		Expect(links).NotTo(BeEmpty())
		for _, l := range links {
			Expect(headings).To(HaveKey(l[1]))
		}
	})
})
