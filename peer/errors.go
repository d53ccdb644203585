package peer

import (
	"errors"
	"io"
	"net"

	"github.com/hashicorp/yamux"
)

// isTransport reports whether err is a failure of the link, as opposed to malformed bytes received over it.
func isTransport(err error) bool {
	var netErr net.Error
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return true
	case errors.Is(err, yamux.ErrConnectionReset), errors.Is(err, yamux.ErrSessionShutdown):
		return true
	case errors.Is(err, yamux.ErrStreamClosed), errors.Is(err, yamux.ErrTimeout):
		return true
	}
	return errors.As(err, &netErr)
}
