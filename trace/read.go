package trace

import (
	"bufio"
	"bytes"
	"io"

	"github.com/lynxplank/lynxplank/fault"
)

// readLines passes on what each line of a log holds from its first brace on: collectors of logs put other text before it. It
// fails with BadUsage for a line that is too long to be one of a node's.
func readLines(r io.Reader, take func(object []byte)) error {
	in := bufio.NewScanner(r)
	in.Buffer(nil, longestLine)
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
