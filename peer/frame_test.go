package peer

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Instances of different versions communicate, so a change of the frame encoding would make them reject each other's
// frames.
func TestFrameEncoding(t *testing.T) {
	encoded := Frame{Kind: 0x1f, CallID: 0x0102, Body: []byte("abc")}.Append([]byte("before"))
	assert.Equal(t, "before\x00\x00\x00\x03\x1f\x00\x00\x00\x00\x00\x00\x01\x02abc", string(encoded))
	kinds := []byte{frameHello, frameStreamChunk, frameResult, frameError}
	assert.Equal(t, []byte{0x01, 0x02, 0x80, 0x81}, kinds)
}

// A change of a JSON key, or of the input of a proof, would break handshakes between instances of different versions.
func TestHelloEncoding(t *testing.T) {
	hello := Hello{Proto: protocolVersion, Group: "g", From: "a", To: "b", Nonce: "n", Proof: "p", Error: "e"}
	encoded, err := json.Marshal(hello)
	require.NoError(t, err)
	assert.JSONEq(t, `{"proto":1,"group":"g","from":"a","to":"b","nonce":"n","proof":"p","error":"e"}`, string(encoded))
	endpoint := New(Config{Key: []byte("key")})
	const wantServerProof = "d124ee10cddc43dde93cf35fbff325366741f676cc202c1698e50fd1e8a6cbf1"
	const wantClientProof = "dcc0870f6aac68637882f1caaa93dc89706ecb4a68a19dabe3fc5cd388b84f19"
	assert.Equal(t, wantServerProof, endpoint.proof(serverProof, "nonces"))
	assert.Equal(t, wantClientProof, endpoint.proof(clientProof, "nonces"))
}

// No input may make ReadFrame panic or return a body longer than the input, whatever length the header announces.
func FuzzReadFrame(f *testing.F) {
	f.Add(Frame{frameHello, 1, []byte("x")}.Append(nil))
	f.Add([]byte("\x00\x7f\xff\xff\x01"))
	f.Fuzz(func(t *testing.T, input []byte) {
		r := strings.NewReader(string(input))
		for {
			frame, err := ReadFrame(r)
			if err != nil {
				return
			}
			if len(frame.Body) > len(input) {
				t.Fatalf("body of %d bytes is longer than the input of %d bytes", len(frame.Body), len(input))
			}
		}
	})
}
