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

// MaxResponseBytes bounds what is read of one response of the log.
const MaxResponseBytes = 16 << 20

// maxPageBytes is the sum of record sizes asked for in one page. In base64 a page grows by a third, and the log
// may exceed the bound by one record, so a page stays below MaxResponseBytes for records of up to 4 MB.
const maxPageBytes = 4 << 20

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is a run of consecutive records of one stream.
type Page struct {
	// Earliest is the offset of the oldest record that the log still holds; 0 means that nothing was trimmed.
	Earliest int64 `json:"earliest"`
	// Next is the offset that the next append will get.
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// AppendResponse is the log's answer to an append.
type AppendResponse struct {
	Offset int64 `json:"offset"`
}

// Appender reads and appends records of the streams of one log.
type Appender struct {
	base   string
	client *http.Client
}

// New returns a client of the log at address, a host and port.
func New(address string) *Appender {
	return &Appender{base: "http://" + address, client: &http.Client{}}
}

// Append adds data to stream and returns its offset; after an error the append may still have taken effect.
func (appender *Appender) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, appender.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, eris.Wrap(err, "preparing an append")
	}
	// Without GetBody, net/http cannot send the append a second time on its own.
	request.GetBody = nil
	var response AppendResponse
	if err := appender.do(request, http.StatusCreated, &response); err != nil {
		return 0, eris.Wrapf(err, "appending to stream %s", stream)
	}
	return response.Offset, nil
}

// Read returns the records of stream from offset from on, waiting up to wait for the first one.
func (appender *Appender) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	target := fmt.Sprintf("%s?from=%d&wait-ms=%d&max-bytes=%d", appender.url(stream), from, wait.Milliseconds(), maxPageBytes)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Page{}, eris.Wrap(err, "preparing a read")
	}
	var page Page
	if err := appender.do(request, http.StatusOK, &page); err != nil {
		return Page{}, eris.Wrapf(err, "reading stream %s from offset %d", stream, from)
	}
	return page, nil
}

func (appender *Appender) url(stream string) string {
	return appender.base + "/streams/" + url.PathEscape(stream) + "/records"
}

func (appender *Appender) do(request *http.Request, status int, into any) error {
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
	if response.StatusCode != status {
		return eris.Errorf("the log answered %s", response.Status)
	}
	return eris.Wrap(json.Unmarshal(body, into), "decoding the log's response")
}
