package appender_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/emulator"
)

// Guards against a stream that cannot be read any more once its records exceed one response.
func TestLongStreamIsReadInPages(t *testing.T) {
	is := is.New(t)
	log := emulator.NewLog()
	server := httptest.NewServer(log)
	defer server.Close()
	const records = 300
	for range records {
		log.Append("bundles", bytes.Repeat([]byte{1}, 87_000))
	}
	client := appender.New(server.Listener.Addr().String())
	var next int64
	for next < records {
		page, err := client.Read(context.Background(), "bundles", next, 0)
		is.NoErr(err)
		is.True(len(page.Records) > 0) // every page makes progress
		for _, record := range page.Records {
			is.Equal(record.Offset, next) // no record is skipped or read twice
			next++
		}
	}
}
