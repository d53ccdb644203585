package peer

import (
	"bufio"
	"io"
	"sync"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

const (
	// MaxFrame is the largest frame accepted from a peer, in bytes.
	MaxFrame = 1 << 20
	// DataChunk is the largest part of a body that one frame carries, in bytes.
	DataChunk = 32 << 10
	// readBuffer is the size of the read buffer of a FrameReader, in bytes.
	readBuffer = 4 << 10
	// maxPrefix is the longest length prefix of a frame, in bytes: a 64-bit varint.
	maxPrefix = 10
	// firstBuffer is the initial capacity of a pooled buffer, in bytes.
	firstBuffer = 2 << 10
)

var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, firstBuffer)
	return &b
}}

// WriteFrame writes one frame with a single call of w.Write; it returns a LinkLost error if that call fails.
func WriteFrame(w io.Writer, f *peerpb.Frame) error {
	p, _ := buffers.Get().(*[]byte)
	defer buffers.Put(p)
	b, err := appendFrame((*p)[:0], f)
	if err != nil {
		return err
	}
	recycle(p, b)
	return writeAll(w, b)
}

// recycle stores the grown buffer b in the pool entry p; a buffer larger than a frame of body data is left to the
// garbage collector.
func recycle(p *[]byte, b []byte) {
	if cap(b) <= DataChunk+maxPrefix+readBuffer {
		*p = b
	}
}

// appendFrame appends the frame with its length prefix to b.
func appendFrame(b []byte, f *peerpb.Frame) ([]byte, error) {
	size := proto.Size(f)
	b = protowire.AppendVarint(b, uint64(size)) //nolint:gosec // sizes are not negative
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, f)
	if err != nil {
		return b, fault.Wrap(err, fault.Internal, "frame", "cannot encode the frame")
	}
	return b, nil
}

func writeAll(w io.Writer, b []byte) error {
	if _, err := w.Write(b); err != nil {
		return fault.Wrap(err, fault.LinkLost, "frame", "cannot write to the link")
	}
	return nil
}

// FrameReader reads frames from one stream.
type FrameReader struct {
	r *bufio.Reader
}

// NewFrameReader returns a FrameReader that reads from r.
func NewFrameReader(r io.Reader) FrameReader {
	return FrameReader{r: bufio.NewReaderSize(r, readBuffer)}
}

// Read returns the next frame. Its error is io.EOF at the clean end of the stream, Protocol for malformed bytes and
// LinkLost for a failure of the link.
func (f FrameReader) Read() (*peerpb.Frame, error) {
	frame := new(peerpb.Frame)
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrame}.UnmarshalFrom(f.r, frame)
	switch {
	case err == nil && frame.GetKind() != nil:
		return frame, nil
	case err == io.EOF: //nolint:errorlint // documented to be returned bare
		return nil, io.EOF
	case err == nil:
		return nil, fault.New(fault.Protocol, "frame", "frame contains no message")
	case isTransport(err):
		return nil, fault.Wrap(err, fault.LinkLost, "frame", "link broke while a frame was read")
	}
	return nil, fault.Wrap(err, fault.Protocol, "frame", "malformed frame")
}
