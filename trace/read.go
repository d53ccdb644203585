package trace

import (
	"bufio"
	"bytes"
	"io"

	"github.com/lynxplank/lynxplank/fault"
)

// readLines calls take with each line of a log that has a brace, from its first brace on: log collectors put other text before
// the JSON object. It fails with BadUsage if the log cannot be read or has a line that is too long to come from a node.
func readLines(r io.Reader, take func(object []byte)) error {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		if at := bytes.IndexByte(in.Bytes(), '{'); at >= 0 {
			take(in.Bytes()[at:])
		}
	}
	if err := in.Err(); err != nil {
		return fault.Wrap(err, fault.BadUsage, "log", "cannot be read")
	}
	return nil
}
