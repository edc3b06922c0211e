package reporter

import (
	"bytes"
	"encoding/hex"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

// checksumSize is the number of hexadecimal digits of the checksum at the start of a record.
const checksumSize = 2 * crc32.Size

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// headerEnd separates the JSON of a record, which contains no line breaks, from its counts.
const headerEnd = '\n'

// frameRecord returns the record with a checksum, a JSON header and the counts. Without the checksum, a record with a
// corrupted count might still be decoded. The counts are not part of the JSON, because base64 would make them a third
// longer.
func frameRecord(header, counts []byte) []byte {
	record := make([]byte, checksumSize, checksumSize+len(header)+1+len(counts))
	record = append(append(append(record, header...), headerEnd), counts...)
	copy(record, checksum(record[checksumSize:]))
	return record
}

func checksum(data []byte) []byte {
	sum := crc32.Checksum(data, checksumTable)
	return hex.AppendEncode(nil, []byte{byte(sum >> 24), byte(sum >> 16), byte(sum >> 8), byte(sum)})
}

// unframeRecord returns the JSON header and the counts of a record, or an error if the checksum does not match. Records
// of earlier versions have no checksum, begin with the JSON and contain the counts in it; for these, counts is nil.
func unframeRecord(data []byte) (header, counts []byte, err error) {
	if len(data) > 0 && data[0] == '{' {
		return data, nil, nil
	}
	if len(data) < checksumSize || !bytes.Equal(checksum(data[checksumSize:]), data[:checksumSize]) {
		return nil, nil, eris.New("checksum mismatch in a burn record")
	}
	header, counts, found := bytes.Cut(data[checksumSize:], []byte{headerEnd})
	if !found {
		return nil, nil, eris.New("burn record without a line break after the header")
	}
	return header, counts, nil
}
