package commander

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/emulator"
)

// office is a folder with the keys of two operators, and a log.
type office struct {
	t      *testing.T
	folder string
	keys   string
	log    *emulator.Log
	// before runs ahead of each append and reports whether the append gets through.
	before func(request *http.Request) bool
	server *httptest.Server
}

func newOffice(t *testing.T) *office {
	office := &office{t: t, folder: t.TempDir(), log: emulator.NewLog(), before: func(*http.Request) bool { return true }}
	office.server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodPost && !office.before(request) {
			panic(http.ErrAbortHandler)
		}
		office.log.ServeHTTP(writer, request)
	}))
	t.Cleanup(office.server.Close)
	linh, _ := office.run("keygen", "--name", "linh", office.path("linh"))
	asha, _ := office.run("keygen", "--name", "asha", office.path("asha"))
	office.keys = strings.TrimSpace(linh) + "," + strings.TrimSpace(asha)
	return office
}

func (office *office) path(name string) string { return filepath.Join(office.folder, name) }

func (office *office) run(args ...string) (string, error) {
	var stdout, stderr bytes.Buffer
	err := Run(context.Background(), append([]string{"bundle"}, args...), nil, &stdout, &stderr)
	return stdout.String(), err
}

func (office *office) onLog(verb string, args ...string) (string, error) {
	args = append([]string{verb, "--log", strings.TrimPrefix(office.server.URL, "http://"), "--bundle-keys", office.keys}, args...)
	return office.run(args...)
}

// prepare writes and signs a bundle and returns its file.
func (office *office) prepare(name string, version int) string {
	text := fmt.Sprintf(quickstartBundle, "127.0.0.1:1", "127.0.0.1:2")
	return office.sign(name, strings.Replace(text, "version = 1", fmt.Sprintf("version = %d\n# %s", version, name), 1))
}

func (office *office) sign(name, text string) string {
	office.t.Helper()
	if err := os.WriteFile(office.path(name), []byte(text), 0o600); err != nil {
		office.t.Fatalf("writing the bundle: %v", err)
	}
	_, err := office.run("sign", "--name", "linh", "--key", office.path("linh"), office.path(name))
	if err == nil {
		_, err = office.run("approve", "--name", "asha", "--key", office.path("asha"), "--bundle-keys", office.keys, office.path(name))
	}
	if err != nil {
		office.t.Fatalf("signing: %v", err)
	}
	return office.path(name)
}

// appended returns the number of records in the log.
func (office *office) appended() int {
	history, err := office.onLog("history")
	if err != nil {
		office.t.Fatalf("history: %v", err)
	}
	return strings.Count(history, "\n")
}

// Guards against a publication that is lost, made twice, or reported wrongly, whatever happens to the append.
func TestPublish(t *testing.T) {
	tests := []struct {
		name    string
		fault   func(office *office)
		want    string
		fails   bool
		records int
	}{
		{"healthy", func(*office) {}, "version 2 is in force, at offset 1", false, 2},
		{"answer lost", func(office *office) { office.log.SetFault(emulator.LogLosesResponses) }, "version 2 is in force, at offset 1", false, 2},
		{"append lost", func(office *office) {
			calls := 0
			office.before = func(*http.Request) bool { calls++; return calls > 1 }
		}, "version 2 is in force, at offset 1", false, 2},
		{"connection silent", func(office *office) {
			calls := 0
			office.before = func(request *http.Request) bool {
				if calls++; calls == 1 {
					_, _ = io.Copy(io.Discard, request.Body)
					<-request.Context().Done()
				}
				return calls > 1
			}
		}, "version 2 is in force, at offset 1", false, 2},
		{"beaten", func(office *office) {
			rival, err := readRecord(office.prepare("rival", 2))
			if err != nil {
				office.t.Fatalf("reading the rival: %v", err)
			}
			replaces := int64(0)
			rival.Replaces = &replaces
			data, err := rival.Encode()
			if err != nil {
				office.t.Fatalf("encoding the rival: %v", err)
			}
			office.before = func(*http.Request) bool { office.log.Append(bundler.Stream, data); return true }
		}, "not published: version 2 by linh at offset 1 came first", true, 3},
		{"log down before", func(office *office) { office.log.SetFault(emulator.LogDown) }, "the log answered 503", true, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			office := newOffice(t)
			_, err := office.onLog("publish", office.prepare("first", 1))
			is.NoErr(err)
			file := office.prepare("second", 2)
			test.fault(office)
			output, err := office.onLog("publish", file)
			is.Equal(err != nil, test.fails)
			is.True(strings.Contains(output+fmt.Sprint(err), test.want)) // the operator learns the outcome
			office.log.SetFault(emulator.LogHealthy)
			is.Equal(office.appended(), test.records)
			if !test.fails {
				again, err := office.onLog("publish", file)
				is.NoErr(err)
				is.Equal(again, output)
				is.Equal(office.appended(), test.records) // publishing again appends nothing
			}
		})
	}
}

// Guards against a bundle that one operator could publish alone, or that changed after it was approved.
func TestSignatures(t *testing.T) {
	is := is.New(t)
	office := newOffice(t)
	file := office.prepare("first", 1)
	_, err := office.run("approve", "--name", "linh", "--key", office.path("linh"), "--bundle-keys", office.keys, file)
	is.True(err != nil && strings.Contains(err.Error(), `author and approver are both "linh"`))
	text, err := os.ReadFile(file)
	is.NoErr(err)
	is.NoErr(os.WriteFile(file, append(text, "# more\n"...), 0o600))
	_, err = office.onLog("publish", file)
	is.True(err != nil && strings.Contains(err.Error(), "does not match the text"))
	_, err = office.onLog("status")
	is.True(err != nil && strings.Contains(err.Error(), "the log proves no bundle"))
	_, err = office.run("keygen", "--name", "linh", office.path("linh"))
	is.True(err != nil) // an existing key is kept
	is.Equal(office.appended(), 0)
}

// Guards against a common bundle that takes the targets away before the parts with them are in force.
func TestPublishSplit(t *testing.T) {
	is := is.New(t)
	office := newOffice(t)
	_, err := office.onLog("publish", office.prepare("first", 1))
	is.NoErr(err)
	text := fmt.Sprintf(quickstartBundle, "127.0.0.1:1", "127.0.0.1:2")
	targets := text[strings.Index(text, "[target"):strings.Index(text, "[kind")]
	common := strings.NewReplacer("version = 1", "version = 2", "domain local]", "domain local]\nsplit = true", targets, "").Replace(text)
	part := "[bundle]\nversion = 1\npart = local\n" + targets
	_, err = office.onLog("publish", office.sign("common", common))
	is.True(err != nil && strings.Contains(err.Error(), "publish its part first"))
	lint, err := office.onLog("lint", office.sign("part", part))
	is.NoErr(err)
	is.True(strings.Contains(lint, "this part is not used yet"))
	_, err = office.onLog("publish", office.path("part"))
	is.NoErr(err)
	output, err := office.onLog("publish", office.path("common"))
	is.NoErr(err)
	is.Equal(output, "version 2 is in force, at offset 1\n")
	status, err := office.onLog("status", "--part", "local")
	is.NoErr(err)
	is.Equal(status, "version 1 by linh, approved by asha, at offset 0\n")
}
