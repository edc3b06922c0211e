package appender

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// MaxResponseBytes is the size of the largest response body that the client accepts from the log.
const MaxResponseBytes = 16 << 20

// maxPageBytes is the limit on the total record size that a read requests. Base64 adds a third, and the log may
// exceed the limit by one record, so a page stays below MaxResponseBytes for records of up to 4 MB.
const maxPageBytes = 4 << 20

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page holds consecutive records of one stream, as returned by one read.
type Page struct {
	// Earliest is the offset of the oldest record that the log still holds; 0 means that no record was trimmed.
	Earliest int64 `json:"earliest"`
	// Next is the offset that the next appended record will get.
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// AppendResponse is the body of the log's response to an append.
type AppendResponse struct {
	Offset int64 `json:"offset"`
}

// Appender is a client that appends records to the streams of one log and reads them.
type Appender struct {
	baseURL string
	client  *http.Client
}

// New returns a client of the log at address, in the form host:port.
func New(address string) *Appender {
	return &Appender{baseURL: "http://" + address, client: &http.Client{}}
}

// Append appends data to stream as one record and returns its offset. After an error, the record may still have
// been appended.
func (appender *Appender) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, appender.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, eris.Wrap(err, "creating the append request")
	}
	// Without GetBody, net/http cannot resend the request by itself, which could append the record twice.
	request.GetBody = nil
	var response AppendResponse
	if err := appender.do(request, http.StatusCreated, &response); err != nil {
		return 0, eris.Wrapf(err, "appending to stream %s", stream)
	}
	return response.Offset, nil
}

// Read returns the records of stream from the given offset onward. If there are none yet, the log waits up to wait for
// the first one.
func (appender *Appender) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	readURL := fmt.Sprintf("%s?from=%d&wait-ms=%d&max-bytes=%d", appender.url(stream), from, wait.Milliseconds(), maxPageBytes)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, readURL, nil)
	if err != nil {
		return Page{}, eris.Wrap(err, "creating the read request")
	}
	var page Page
	if err := appender.do(request, http.StatusOK, &page); err != nil {
		return Page{}, eris.Wrapf(err, "reading stream %s from offset %d", stream, from)
	}
	return page, nil
}

func (appender *Appender) url(stream string) string {
	return appender.baseURL + "/streams/" + url.PathEscape(stream) + "/records"
}

func (appender *Appender) do(request *http.Request, wantStatus int, result any) error {
	response, err := appender.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "calling the log")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return eris.Wrap(err, "reading the log's response")
	}
	if len(body) > MaxResponseBytes {
		return eris.Errorf("the log's response exceeds %d bytes", MaxResponseBytes)
	}
	if response.StatusCode != wantStatus {
		return eris.Errorf("the log answered %s", response.Status)
	}
	return eris.Wrap(json.Unmarshal(body, result), "decoding the log's response")
}
