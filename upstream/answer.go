package upstream

import (
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/lynxplank/lynxplank/fault"
)

const (
	// firstProvisional and lastStatus bound the statuses that an answer may have.
	firstProvisional, lastStatus = 100, 599
)

// errBadStatus is the cause of an answer that is given up because of its status line.
var errBadStatus = fault.New(fault.EndpointCut, "head", "the answer has a version or a status that HTTP/1 does not have")

// errBadFields is the cause of an answer that is given up because of its fields.
var errBadFields = fault.New(fault.EndpointCut, "head", "the answer has a field whose name or value is not allowed")

// checkAnswer refuses heads that the parser accepts, but another one might read differently: the framing of the body may be in a field
// that is not read.
func checkAnswer(answer *http.Response) error {
	switch status := answer.StatusCode; {
	case answer.ProtoMajor != 1, status < firstProvisional, status > lastStatus, status == http.StatusSwitchingProtocols:
		return errBadStatus
	}
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
