package linker

import (
	"bytes"
	"testing"

	"github.com/hyssoplift/hyssoplift/keeper"
)

// Guards against a frame that crashes the decoder, and against a decoded message whose encoding differs from it.
func FuzzDecode(f *testing.F) {
	for _, message := range sampleMessages() {
		f.Add(mustEncode(message))
	}
	f.Add(append(mustEncode(withdraw("a", 1)), mustEncode(KeeperMessage{keeper.Confirm{View: 1}})...))
	f.Add([]byte("\x82\x6csync-request\xa1\x66slices\x9a\xff\xff\xff\xff"))
	f.Add([]byte("\x82\x65hello\xa2\x67version\x02\x63new\x01"))
	f.Fuzz(func(t *testing.T, frame []byte) {
		_, _ = decodeHello(frame)
		for rest := frame; len(rest) > 0; {
			message, after, err := decode(rest)
			if err != nil {
				return
			}
			if len(after) >= len(rest) {
				t.Fatal("the decoder made no progress")
			}
			rest = after
			again, left, err := decode(mustEncode(message))
			if err != nil || len(left) > 0 {
				t.Fatalf("%#v does not survive: %v", message, err)
			}
			if !bytes.Equal(mustEncode(message), mustEncode(again)) {
				t.Fatalf("%#v became %#v", message, again)
			}
		}
	})
}
