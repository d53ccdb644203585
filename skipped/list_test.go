package skipped

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
)

// TestScripts runs the scenarios of testdata. Commands:
//
//	note SOURCE WHERE DETAIL
//	understood SOURCE WHERE
//	replace SOURCE             with lines of WHERE DETAIL
//	flood SOURCE N             notes N entries
//
// Each prints how many lines were logged, and the entries.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var out bytes.Buffer
		log := zerolog.New(&out)
		l := New(&log)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out.Reset()
			arg := func(i int) string { return d.CmdArgs[i].String() }
			switch d.Cmd {
			case "note":
				l.Note(Source(arg(0)), arg(1), arg(2))
			case "understood":
				l.Decoded(Source(arg(0)), arg(1))
			case "replace":
				now := make(map[string]string)
				for line := range strings.Lines(d.Input) {
					where, detail, _ := strings.Cut(strings.TrimSpace(line), " ")
					now[where] = detail
				}
				l.Replace(Source(arg(0)), now)
			case "flood":
				n := 0
				d.ScanArgs(t, "n", &n)
				for i := range n {
					l.Note(Source(arg(0)), fmt.Sprint(i), "odd")
				}
				return fmt.Sprintln("at most", mostEntries, len(l.Entries()) <= mostEntries)
			default:
				d.Fatalf(t, "no such command")
			}
			var b strings.Builder
			fmt.Fprintln(&b, "logged", strings.Count(out.String(), "\n"))
			for _, e := range l.Entries() {
				fmt.Fprintln(&b, e.Source, e.Where, e.Detail)
			}
			return b.String()
		})
	})
}
