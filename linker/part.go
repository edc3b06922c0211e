package linker

import "github.com/rotisserie/eris"

// pieces returns encoded as it is, or cut into parts if it does not fit into one frame.
func pieces(encoded []byte) ([][]byte, error) {
	if len(encoded) <= MaxFrameBytes {
		return [][]byte{encoded}, nil
	}
	var cut [][]byte
	for start := 0; start < len(encoded); start += partBytes {
		end := min(start+partBytes, len(encoded))
		piece, err := encode(part{Last: end == len(encoded), Data: encoded[start:end]})
		if err != nil {
			return nil, err
		}
		cut = append(cut, piece)
	}
	return cut, nil
}

// assembly joins the parts of one message; a link carries the parts of a message without others between them.
type assembly struct{ data []byte }

// add returns the message that piece completes, or nil if more parts follow.
func (assembly *assembly) add(piece part) (Message, error) {
	if len(assembly.data)+len(piece.Data) > MaxMessageBytes+maxTextBytes {
		return nil, eris.Errorf("message in parts exceeds %d bytes", MaxMessageBytes)
	}
	assembly.data = append(assembly.data, piece.Data...)
	if !piece.Last {
		return nil, nil
	}
	message, rest, err := decode(assembly.data)
	assembly.data = nil
	if err != nil {
		return nil, err
	}
	if _, nested := message.(part); nested || len(rest) > 0 {
		return nil, eris.New("parts do not hold exactly one message")
	}
	return message, nil
}
