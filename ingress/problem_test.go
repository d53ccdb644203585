package ingress

import (
	"bytes"
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/fault"
)

// TestProblemIsEncodedAsByEncodingJSON guards against a body that callers cannot read, such as one with a request id that
// needs escapes.
func TestProblemIsEncodedAsByEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(rapid.String(), rapid.StringMatching(`[ -~]{0,40}`), rapid.Just("a\xffb"))
		p := Problem{
			Code: fault.Code(text.Draw(t, "code")), Outcome: text.Draw(t, "outcome"), Detail: text.Draw(t, "detail"),
			RequestID: text.Draw(t, "id"), RetryAfterMillis: rapid.Int64().Draw(t, "after"),
		}
		var want bytes.Buffer
		if err := json.NewEncoder(&want).Encode(p); err != nil {
			t.Fatal(err)
		}
		if got := string(p.appendJSON(nil)); got != want.String() {
			t.Errorf("got %q, want %q", got, want.String())
		}
	})
}
