package ingress

import (
	"encoding/json"
	"strconv"
)

// problemSize is the size, in bytes, that is enough for the JSON text of most problems.
const problemSize = 384

// appendJSON appends the JSON text of a problem and a newline. It writes what encoding/json would, without its reflection:
// a refusal must cost little.
func (p Problem) appendJSON(b []byte) []byte {
	b = appendJSONString(append(b, `{"code":`...), string(p.Code))
	b = appendJSONString(append(b, `,"outcome":`...), p.Outcome)
	b = appendJSONString(append(b, `,"detail":`...), p.Detail)
	if p.RequestID != "" {
		b = appendJSONString(append(b, `,"request_id":`...), p.RequestID)
	}
	if p.RetryAfterMillis != 0 {
		b = strconv.AppendInt(append(b, `,"retry_after_ms":`...), p.RetryAfterMillis, 10)
	}
	return append(b, "}\n"...)
}

// appendJSONString appends a JSON string. Text that needs escapes, such as a request id of a caller's choice, is left to
// encoding/json.
func appendJSONString(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			quoted, _ := json.Marshal(s)
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}
