package bundler

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Stream is the stream of the log on which the common part is published.
const Stream = "bundles"

// PartStream returns the stream of the part of a split failure domain, or that of the common part for an empty name.
func PartStream(failureDomain string) string {
	if failureDomain == "" {
		return Stream
	}
	return Stream + "-" + failureDomain
}

// MaxRecordBytes limits an encoded record. The log client reads at most 16 MiB per response, which holds the record in
// base64.
const MaxRecordBytes = 8 << 20

// Signatures holds the two signatures of the text of a bundle.
type Signatures struct {
	Author   []byte `json:"author"`
	Approver []byte `json:"approver"`
}

// Record is a signed bundle as stored in the log, either published or renewed.
type Record struct {
	Version int64 `json:"version"`
	// Replaces is the offset of the bundle that this one replaces, or nil for the first bundle.
	Replaces   *int64     `json:"replaces"`
	Author     string     `json:"author"`
	Approver   string     `json:"approver"`
	Signatures Signatures `json:"signatures"`
	// Renewal is set if the record repeats a bundle that is already in force.
	Renewal *Renewal `json:"renewal,omitempty"`
	// Text is the exact text that was signed.
	Text string `json:"text"`
}

// Renewal identifies the repeated record and states up to which offset the instance that renewed it had read.
type Renewal struct {
	// Offset is the offset of the original record.
	Offset int64 `json:"offset"`
	// UnreplacedThrough is the last offset up to which no record replaced the original. A reader needs it to tell whether
	// a trimmed record could have replaced the original.
	UnreplacedThrough int64 `json:"through"`
}

// Encode returns the record as JSON.
func (record Record) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(record); err != nil {
		return nil, eris.Wrap(err, "encoding a bundle record")
	}
	if buffer.Len() > MaxRecordBytes {
		return nil, eris.Errorf("the bundle record has %d bytes, allowed are %d", buffer.Len(), MaxRecordBytes)
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n")), nil
}

// DecodeRecord decodes data. It returns an error if data is truncated or has trailing bytes.
func DecodeRecord(data []byte) (Record, error) {
	var record Record
	if len(data) > MaxRecordBytes {
		return record, eris.Errorf("the record has %d bytes, allowed are %d", len(data), MaxRecordBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&record); err != nil {
		return record, eris.Wrap(err, "decoding a bundle record")
	}
	if decoder.InputOffset() != int64(len(data)) {
		return record, eris.New("the bundle record has bytes after its end")
	}
	if renewal := record.Renewal; renewal != nil && (renewal.Offset < 0 || renewal.UnreplacedThrough < renewal.Offset) {
		return record, eris.New("the renewal's offsets are inconsistent")
	}
	return record, nil
}

// VerifyAndParse verifies the signatures of the record, parses its text and returns the bundle.
func (record Record) VerifyAndParse(keys Keys) (*Bundle, error) {
	if record.Author == record.Approver {
		return nil, eris.Errorf("author and approver are both %q", record.Author)
	}
	if err := keys.Verify(record.Author, RoleAuthor, record.Text, record.Signatures.Author); err != nil {
		return nil, err
	}
	if err := keys.Verify(record.Approver, RoleApprover, record.Text, record.Signatures.Approver); err != nil {
		return nil, err
	}
	bundle, err := parseText(record.Text)
	if err != nil {
		return nil, err
	}
	if bundle.version != record.Version {
		return nil, eris.Errorf("the record says version %d, the signed text %d", record.Version, bundle.version)
	}
	return bundle, nil
}

// replacedOffset returns the offset of the bundle that the record replaces, or noOffset.
func (record Record) replacedOffset() int64 {
	if record.Replaces == nil {
		return noOffset
	}
	return *record.Replaces
}
