package reporter

import (
	"encoding/hex"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

// sealSize is the length of the checksum, in hexadecimal digits, before the JSON of a record.
const sealSize = 2 * crc32.Size

var sealTable = crc32.MakeTable(crc32.Castagnoli)

// seal puts a checksum before the JSON of a record, because a record with a changed count would still be valid JSON.
func seal(data []byte) []byte {
	sum := crc32.Checksum(data, sealTable)
	sealed := make([]byte, 0, sealSize+len(data))
	sealed = hex.AppendEncode(sealed, []byte{byte(sum >> 24), byte(sum >> 16), byte(sum >> 8), byte(sum)})
	return append(sealed, data...)
}

// unseal returns the JSON of a record, or an error if the checksum does not match. Records of earlier versions begin
// with the JSON and have no checksum.
func unseal(data []byte) ([]byte, error) {
	if len(data) > 0 && data[0] == '{' {
		return data, nil
	}
	if len(data) < sealSize || string(seal(data[sealSize:])[:sealSize]) != string(data[:sealSize]) {
		return nil, eris.New("a burn record does not match its checksum")
	}
	return data[sealSize:], nil
}
