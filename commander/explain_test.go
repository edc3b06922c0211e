package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against output that omits lines of other instances, is out of order, or includes lines of other jobs.
func TestExplainGathersTheLinesOfAJob(t *testing.T) {
	is := is.New(t)
	logs := strings.Join([]string{
		`0.2 node-2 {"@message":"run ended","@timestamp":"2026-01-01T00:00:02Z","task":"j1.0.0.0","cause":"done"}`,
		`{"@message":"task started","@timestamp":"2026-01-01T00:00:01Z","job":"j1","task":"j1.0.0.0","target":"t"}`,
		`{"@message":"job answered","@timestamp":"2026-01-01T00:00:03Z","job":"j1","outcome":"complete"}`,
		`{"@message":"job answered","@timestamp":"2026-01-01T00:00:03Z","job":"j10","outcome":"complete"}`,
		`{"@message":"target restarted","@timestamp":"2026-01-01T00:00:04Z","runs":"j0.0.0.0/1 since 9 ms, j1.0.0.0/1 since 8 ms"}`,
		`{"@message":"target restarted","@timestamp":"2026-01-01T00:00:04Z","runs":"j10.0.0.0/1 since 9 ms, xj1.0.0.0/1 since 8 ms"}`,
		`not a log line about j1`,
		`{"@message":"cut off j1`,
	}, "\n")
	var output bytes.Buffer
	is.NoErr(Run(t.Context(), []string{"explain", "j1"}, strings.NewReader(logs), &output, &output))
	is.Equal(output.String(), `2026-01-01T00:00:01Z  task started job=j1 target=t task=j1.0.0.0
2026-01-01T00:00:02Z 0.2 node-2 run ended cause=done task=j1.0.0.0
2026-01-01T00:00:03Z  job answered job=j1 outcome=complete
2026-01-01T00:00:04Z  target restarted runs=j0.0.0.0/1 since 9 ms, j1.0.0.0/1 since 8 ms
`)
	is.True(Run(t.Context(), []string{"explain", "j2"}, strings.NewReader(logs), &output, &output) != nil)
}

// Guards against invalid settings that settings check accepts, so that only the start of an instance reports them.
func TestSettingsAreCheckedWithoutAStart(t *testing.T) {
	const good = `nodeId = "n"
ip = "127.0.0.1"
zone = "a"
portRange = [7000,7001]
[listen]
frontend = "127.0.0.1:1"
readiness = "127.0.0.1:2"
[bounds]
graceS = 6
[platform]
addr = "127.0.0.1:3"
`
	tests := []struct {
		name    string
		file    string
		text    string
		wantErr string
	}{
		{"good", "a.toml", good, ""},
		{"unknown fields are ignored", "a.toml", good + "[other]\nfield = 1\n", ""},
		{"not TOML", "a.toml", "nodeId =", "TOML"},
		{"missing field", "a.toml", strings.Replace(good, `zone = "a"`, "", 1), "zone is missing"},
		{"ports in the wrong order", "a.toml", strings.Replace(good, "7000", "7002", 1), "portRange"},
		{"no grace period", "a.toml", strings.Replace(good, "graceS = 6", "", 1), "graceS"},
		{"another form of store", "a.toml", good + "form = \"tables\"\n", "only log"},
		{"unknown setting", "a.ini", "no-such-setting = 1\n", "no-such-setting"},
		{"unknown extension", "a.txt", "", "neither"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), test.file)
			is.NoErr(os.WriteFile(path, []byte(test.text), 0o600))
			var output bytes.Buffer
			err := Run(t.Context(), []string{"settings", "check", path}, nil, &output, &output)
			if test.wantErr == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.wantErr))
		})
	}
}
