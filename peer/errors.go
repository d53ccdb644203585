package peer

import (
	"errors"
	"io"
	"net"

	"github.com/hashicorp/yamux"
)

// isTransport tells an error of the link from one of the bytes on it.
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
