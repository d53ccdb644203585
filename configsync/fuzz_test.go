package configsync

import (
	"testing"

	"github.com/lynxplank/lynxplank/table"
)

// FuzzLine has a line of any bytes refused, or read as one whose host and endpoints can be used.
func FuzzLine(f *testing.F) {
	f.Add([]byte(`{"id":"h1","hall":"a","address":"10.0.0.1:80","endpoints":[{"key":"e@1","value":{"Service":"desk","Host":"h1","Hall":"a","Address":"10.0.0.1:81","Slots":4,"Weight":1}}]}`))
	f.Add([]byte(`{"id":"h1","hall":"a","address":"10.0.0.1:80","endpoints":[{"key":"","value":{"Phase":9}}]}`))
	f.Add([]byte(`{"id":"h1","hall":"a","address":"10.0.0.1:80","endpoints":[{"key":"e","value":{"Weight":-1,"Phase":200}}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, text []byte) {
		h, _, err := readLine("h1", text)
		if err != nil {
			return
		}
		if h.ID != "h1" {
			t.Errorf("host: got %q, want h1", h.ID)
		}
		table.NewState().WithEndpoints(1, h.Endpoints).UndecodableRows(func(u table.UndecodableRow) {
			t.Errorf("endpoints: got %+v left out, want none", u)
		})
	})
}
