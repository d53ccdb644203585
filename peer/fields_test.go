package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// filledDispatch returns a dispatch in which every field is set except the claim, which an offer never has.
func filledDispatch(t *testing.T) *peerpb.Dispatch {
	t.Helper()
	d := &peerpb.Dispatch{Headers: []*peerpb.Header{{Name: "a", Value: "b"}}}
	m := d.ProtoReflect()
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch f.Kind() {
		case protoreflect.StringKind:
			m.Set(f, protoreflect.ValueOfString("x"))
		case protoreflect.BytesKind:
			m.Set(f, protoreflect.ValueOfBytes([]byte("x")))
		case protoreflect.BoolKind:
			m.Set(f, protoreflect.ValueOfBool(true))
		case protoreflect.Int64Kind:
			m.Set(f, protoreflect.ValueOfInt64(7))
		case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
			m.Set(f, protoreflect.ValueOfUint64(7))
		case protoreflect.Uint32Kind:
			m.Set(f, protoreflect.ValueOfUint32(7))
		case protoreflect.DoubleKind:
			m.Set(f, protoreflect.ValueOfFloat64(7))
		case protoreflect.MessageKind:
		default:
			t.Fatalf("field %s: no test value for kind %v", f.Name(), f.Kind())
		}
	}
	return d
}

// TestGoFrameCompletesOffer checks that an offer and its Go frame together carry every field of the dispatch. A field
// that is in neither would be lost on the way, and take effect only at an endpoint on the ingress's own host.
func TestGoFrameCompletesOffer(t *testing.T) {
	want := filledDispatch(t)
	got := offerOf(want)
	complete(got, goOf(want))
	if !proto.Equal(got, want) {
		t.Errorf("dispatch completed by the Go frame: got %v, want %v", got, want)
	}
}
