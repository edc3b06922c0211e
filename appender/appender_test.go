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

// Guards against a reader that fails on a stream whose records exceed the size limit of one response: 300 records of
// 87 kB have to be read page by page.
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
		is.True(len(page.Records) > 0) // otherwise the loop would not end
		for _, record := range page.Records {
			is.Equal(record.Offset, next) // no record is skipped or repeated
			next++
		}
	}
}
