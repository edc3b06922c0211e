package linker

import "github.com/rotisserie/eris"

// splitMessage returns encoded unchanged if it fits into one frame, and otherwise splits it into encoded parts.
func splitMessage(encoded []byte) ([][]byte, error) {
	if len(encoded) <= MaxFrameBytes {
		return [][]byte{encoded}, nil
	}
	var parts [][]byte
	for start := 0; start < len(encoded); start += partBytes {
		end := min(start+partBytes, len(encoded))
		encodedPart, err := encode(part{Last: end == len(encoded), Data: encoded[start:end]})
		if err != nil {
			return nil, err
		}
		parts = append(parts, encodedPart)
	}
	return parts, nil
}

// reassembler joins the parts of one message. A link sends the parts of a message without other messages between them.
type reassembler struct{ data []byte }

// add returns the message that next completes, or nil if more parts follow.
func (reassembler *reassembler) add(next part) (Message, error) {
	if len(reassembler.data)+len(next.Data) > MaxMessageBytes+maxTextBytes {
		return nil, eris.Errorf("message in parts exceeds %d bytes", MaxMessageBytes)
	}
	reassembler.data = append(reassembler.data, next.Data...)
	if !next.Last {
		return nil, nil
	}
	message, rest, err := decode(reassembler.data)
	reassembler.data = nil
	if err != nil {
		return nil, err
	}
	if _, nested := message.(part); nested || len(rest) > 0 {
		return nil, eris.New("parts do not hold exactly one message")
	}
	return message, nil
}
