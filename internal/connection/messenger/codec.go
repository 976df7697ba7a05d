package messenger

import (
	"bytes"
	"fmt"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// The kinds of frame contents.
const (
	contentCall   = 1
	contentAnswer = 2
)

// refusedText is the error text in the answer to a call that was refused and
// not run.
const refusedText = "\x00refused"

// callHeader precedes the arguments of a call.
type callHeader struct {
	Method    string        `msgpack:"m"`
	Sequence  uint64        `msgpack:"s"`
	Remaining time.Duration `msgpack:"w"` // until the caller's deadline; 0 if unknown
}

// answerHeader precedes the reply of a call.
type answerHeader struct {
	Method   string `msgpack:"m"`
	Sequence uint64 `msgpack:"s"`
	Error    string `msgpack:"e,omitempty"`
}

// encode returns the content of a frame: kind, header and body.
func encode(kind byte, header, body any) ([]byte, error) {
	var buf bytes.Buffer
	buf.WriteByte(kind)
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(header); err != nil {
		return nil, fmt.Errorf("encode header: %w", err)
	}
	if body != nil {
		if err := enc.Encode(body); err != nil {
			return nil, fmt.Errorf("encode body: %w", err)
		}
	}
	if buf.Len() > maxFrameSize {
		return nil, ErrTooLarge
	}
	return buf.Bytes(), nil
}

// decodeHeader decodes the header from content, which is given without its
// kind, and returns the bytes of the body.
func decodeHeader(content []byte, header any) ([]byte, error) {
	r := bytes.NewReader(content)
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(r)
	if err := dec.Decode(header); err != nil {
		return nil, fmt.Errorf("decode header: %w", err)
	}
	return content[len(content)-r.Len():], nil
}

// serverCall is the codec of one call: net/rpc reads the call from it and
// writes the answer to it.
type serverCall struct {
	stream  *stream
	header  callHeader
	body    []byte
	arrived time.Time
}

// ReadRequestHeader sets the method and the sequence number of the call.
func (c *serverCall) ReadRequestHeader(r *rpc.Request) error {
	r.ServiceMethod, r.Seq = c.header.Method, c.header.Sequence
	return nil
}

// ReadRequestBody decodes the arguments.
func (c *serverCall) ReadRequestBody(body any) error {
	if body == nil {
		return nil
	}
	return msgpack.Unmarshal(c.body, body)
}

// WriteResponse sends the answer.
func (c *serverCall) WriteResponse(r *rpc.Response, body any) error {
	header := answerHeader{Method: r.ServiceMethod, Sequence: r.Seq, Error: r.Error}
	if r.Error != "" {
		body = nil
	}
	content, err := encode(contentAnswer, header, body)
	if err != nil {
		header.Error = err.Error()
		if content, err = encode(contentAnswer, header, nil); err != nil {
			return err
		}
	}
	return c.stream.answer(content)
}

// Close does nothing, because the connection outlives the call.
func (c *serverCall) Close() error { return nil }

// refuse answers that the call was refused and not run.
func (c *serverCall) refuse() {
	_ = c.WriteResponse(&rpc.Response{
		ServiceMethod: c.header.Method, Seq: c.header.Sequence, Error: refusedText}, nil)
}

// outgoing is what a link passes to net/rpc as the arguments of a call.
type outgoing struct {
	args      any
	remaining time.Duration
}

// incoming is what a link passes to net/rpc as the reply of a call. The caller
// itself decodes the reply, so that a late answer never writes to memory that
// the caller has reused.
type incoming struct {
	body       []byte
	isTimedOut atomic.Bool // the caller no longer waits
}
