package upstream

import (
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/lynxplank/lynxplank/fault"
)

// errBadFields is the cause of an answer that is given up because of its fields.
var errBadFields = fault.New(fault.EndpointCut, "head", "the answer has a field whose name or value is not allowed")

// checkAnswer refuses heads that the parser accepts, but another one might read differently: the framing of the body may be in a field
// that is not read.
func checkAnswer(answer *http.Response) error {
	for name, values := range answer.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errBadFields
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return errBadFields
			}
		}
	}
	return nil
}
