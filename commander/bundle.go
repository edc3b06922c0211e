package commander

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/bundler"
)

const (
	// signatureSuffix is added to the name of a bundle file for the file with its signatures.
	signatureSuffix = ".sig"
	pemPrivateKey   = "PRIVATE KEY"
	publishTimeout  = 30 * time.Second
)

// bundleFlags are the flags that the bundle subcommands share; each uses some of them.
type bundleFlags struct {
	set     *flag.FlagSet
	stdout  io.Writer
	log     string
	keys    string
	name    string
	key     string
	part    string
	timeout time.Duration
}

// bundleVerb is one subcommand of hyssoplift bundle.
type bundleVerb struct {
	name, arguments, help string
	flags                 []string
	count                 int
	exec                  func(flags *bundleFlags, ctx context.Context, files []string) error
}

func newBundle(stdout, stderr io.Writer) *ffcli.Command {
	verbs := []bundleVerb{
		{"lint", "FILE", "find what would break; with --log, against the bundle in force", []string{"log", "bundle-keys"}, 1, (*bundleFlags).lint},
		{"diff", "OLD NEW", "print the changes between two bundle files", nil, 2, (*bundleFlags).diff},
		{"keygen", "FILE", "write a private key to FILE and print its public key", []string{"name"}, 1, (*bundleFlags).keygen},
		{"sign", "FILE", "sign FILE as its author", []string{"name", "key"}, 1, (*bundleFlags).sign},
		{"approve", "FILE", "sign FILE as its approver", []string{"name", "key", "bundle-keys"}, 1, (*bundleFlags).approve},
		{"publish", "FILE", "put FILE in force", []string{"log", "bundle-keys", "timeout"}, 1, (*bundleFlags).publish},
		{"status", "", "print the bundle in force", []string{"log", "bundle-keys", "part"}, 0, (*bundleFlags).status},
		{"history", "", "print every bundle record that the log holds", []string{"log", "bundle-keys", "part"}, 0, (*bundleFlags).history},
	}
	command := &ffcli.Command{
		Name:       "bundle",
		ShortUsage: "hyssoplift bundle <subcommand> [flags] [files]",
		ShortHelp:  "check, sign and publish bundles",
		FlagSet:    flag.NewFlagSet("bundle", flag.ContinueOnError),
		Exec:       func(context.Context, []string) error { return flag.ErrHelp },
	}
	command.FlagSet.SetOutput(stderr)
	for _, verb := range verbs {
		command.Subcommands = append(command.Subcommands, verb.command(stdout, stderr))
	}
	return command
}

func (verb bundleVerb) command(stdout, stderr io.Writer) *ffcli.Command {
	flags := &bundleFlags{set: flag.NewFlagSet(verb.name, flag.ContinueOnError), stdout: stdout}
	flags.set.SetOutput(stderr)
	for _, name := range verb.flags {
		flags.define(name)
	}
	return &ffcli.Command{
		Name:       verb.name,
		ShortUsage: "hyssoplift bundle " + verb.name + " [flags] " + verb.arguments,
		ShortHelp:  verb.help,
		FlagSet:    flags.set,
		Options:    []ff.Option{ff.WithEnvVarPrefix("HYSSOPLIFT")},
		Exec: func(ctx context.Context, files []string) error {
			if len(files) != verb.count {
				return eris.Errorf("bundle %s: got %d files, expected %d: %s", verb.name, len(files), verb.count, verb.arguments)
			}
			return verb.exec(flags, ctx, files)
		},
	}
}

func (flags *bundleFlags) define(name string) {
	switch name {
	case "log":
		flags.set.StringVar(&flags.log, name, "", "address of the platform's log service, host:port")
	case "bundle-keys":
		flags.set.StringVar(&flags.keys, name, "", "the instances' setting bundle-keys, NAME:KEY,NAME:KEY")
	case "name":
		flags.set.StringVar(&flags.name, name, "", "name of the operator in bundle-keys")
	case "key":
		flags.set.StringVar(&flags.key, name, "", "file with the operator's private key")
	case "part":
		flags.set.StringVar(&flags.part, name, "", "split failure domain whose part is meant; the common part if not given")
	case "timeout":
		flags.set.DurationVar(&flags.timeout, name, publishTimeout, "time within which the outcome is due")
	}
}

func (flags *bundleFlags) lint(ctx context.Context, files []string) error {
	text, err := os.ReadFile(files[0])
	if err != nil {
		return eris.Wrap(err, "reading the bundle file")
	}
	bundle, err := bundler.Parse(text)
	if err != nil {
		return err
	}
	findings, err := flags.findings(ctx, bundle)
	if err != nil {
		return err
	}
	broken := false
	for _, finding := range findings {
		fmt.Fprintln(flags.stdout, finding)
		broken = broken || finding.Severity() == bundler.SeverityError
	}
	if broken {
		return eris.New("the bundle would break")
	}
	return nil
}

func (flags *bundleFlags) diff(_ context.Context, files []string) error {
	var bundles [2]*bundler.Bundle
	for i, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			return eris.Wrap(err, "reading a bundle file")
		}
		if bundles[i], err = bundler.Parse(text); err != nil {
			return eris.Wrap(err, name)
		}
	}
	for _, line := range bundler.Diff(bundles[0], bundles[1]) {
		fmt.Fprintln(flags.stdout, line)
	}
	return nil
}

func (flags *bundleFlags) keygen(_ context.Context, files []string) error {
	if flags.name == "" {
		return eris.New("--name is missing")
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return eris.Wrap(err, "generating a key")
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return eris.Wrap(err, "encoding the key")
	}
	// An existing key is never overwritten: it may be the only copy.
	file, err := os.OpenFile(files[0], os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return eris.Wrap(err, "creating the key file")
	}
	if err := pem.Encode(file, &pem.Block{Type: pemPrivateKey, Bytes: encoded}); err != nil {
		return eris.Wrap(err, "writing the key file")
	}
	if err := file.Close(); err != nil {
		return eris.Wrap(err, "writing the key file")
	}
	fmt.Fprintln(flags.stdout, bundler.FormatKey(flags.name, public))
	return nil
}

func (flags *bundleFlags) signer() (bundler.Signer, error) {
	if flags.name == "" || flags.key == "" {
		return bundler.Signer{}, eris.New("--name and --key are needed")
	}
	text, err := os.ReadFile(flags.key)
	if err != nil {
		return bundler.Signer{}, eris.Wrap(err, "reading the key file")
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != pemPrivateKey {
		return bundler.Signer{}, eris.Errorf("%s holds no private key", flags.key)
	}
	decoded, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return bundler.Signer{}, eris.Wrapf(err, "decoding the key in %s", flags.key)
	}
	key, ok := decoded.(ed25519.PrivateKey)
	if !ok {
		return bundler.Signer{}, eris.Errorf("%s holds no ed25519 key", flags.key)
	}
	return bundler.NewSigner(flags.name, key), nil
}

func (flags *bundleFlags) parseKeys() (bundler.Keys, error) {
	if flags.keys == "" {
		return bundler.Keys{}, eris.New("--bundle-keys is missing")
	}
	keys, err := bundler.ParseKeys(flags.keys)
	return keys, eris.Wrap(err, "--bundle-keys")
}

func (flags *bundleFlags) sign(_ context.Context, files []string) error {
	signer, err := flags.signer()
	if err != nil {
		return err
	}
	text, err := os.ReadFile(files[0])
	if err != nil {
		return eris.Wrap(err, "reading the bundle file")
	}
	record, err := signer.SignAsAuthor(string(text))
	if err != nil {
		return err
	}
	return writeSignatures(files[0], record)
}

func (flags *bundleFlags) approve(_ context.Context, files []string) error {
	signer, err := flags.signer()
	if err != nil {
		return err
	}
	keys, err := flags.parseKeys()
	if err != nil {
		return err
	}
	record, err := readRecord(files[0])
	if err != nil {
		return err
	}
	if record, err = signer.Approve(record, keys); err != nil {
		return err
	}
	return writeSignatures(files[0], record)
}

// writeSignatures writes the record without its text, which stays in the bundle file.
func writeSignatures(file string, record bundler.Record) error {
	record.Text = ""
	data, err := record.Encode()
	if err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(file+signatureSuffix, append(data, '\n'), 0o644), "writing the signatures")
}

// readRecord returns the bundle in file with the signatures beside it.
func readRecord(file string) (bundler.Record, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return bundler.Record{}, eris.Wrap(err, "reading the bundle file")
	}
	data, err := os.ReadFile(file + signatureSuffix)
	if err != nil {
		return bundler.Record{}, eris.Wrap(err, "reading the signatures; sign the bundle first")
	}
	record, err := bundler.DecodeRecord(bytes.TrimSuffix(data, []byte("\n")))
	record.Text = string(text)
	return record, err
}

// findings returns what lint finds, under the bundles in force if a log is given.
func (flags *bundleFlags) findings(ctx context.Context, bundle *bundler.Bundle) ([]bundler.Finding, error) {
	if flags.log == "" {
		return bundler.Lint(bundle, nil), nil
	}
	inForce, err := flags.bundleInForce(ctx, bundle.Part())
	if err != nil {
		return nil, err
	}
	if bundle.Part() != "" {
		findings := bundler.Lint(bundle, inForce)
		common, err := flags.bundleInForce(ctx, "")
		if common != nil {
			findings = append(findings, bundler.LintPart(bundle, common)...)
		}
		return findings, err
	}
	parts := make(map[string]*bundler.Bundle)
	for _, name := range bundle.FailureDomains() {
		if domain, _ := bundle.FailureDomain(name); !domain.Split() {
			continue
		}
		if parts[name], err = flags.bundleInForce(ctx, name); err != nil {
			return nil, err
		}
	}
	return bundler.LintParts(bundle, inForce, parts), nil
}

// bundleInForce returns the part that the log proves to be in force, or nil.
func (flags *bundleFlags) bundleInForce(ctx context.Context, part string) (*bundler.Bundle, error) {
	bundles, _, err := flags.readLog(ctx, part)
	if err != nil || bundles.Snapshot() == nil {
		return nil, err
	}
	return bundles.Snapshot().Bundle(), nil
}

// readLog returns a bundler that has read to the end of the log, and what became of each record.
func (flags *bundleFlags) readLog(ctx context.Context, part string) (*bundler.Bundler, []bundler.Event, error) {
	if flags.log == "" {
		return nil, nil, eris.New("--log is missing")
	}
	keys, err := flags.parseKeys()
	if err != nil {
		return nil, nil, err
	}
	bundles := bundler.NewPart(keys, part)
	events, err := readToEnd(ctx, appender.New(flags.log), bundles)
	return bundles, events, err
}

func (flags *bundleFlags) status(ctx context.Context, _ []string) error {
	bundles, _, err := flags.readLog(ctx, flags.part)
	if err != nil {
		return err
	}
	snapshot := bundles.Snapshot()
	if snapshot == nil {
		return eris.New("the log proves no bundle to be in force")
	}
	_, err = fmt.Fprintf(flags.stdout, "version %d by %s, approved by %s, at offset %d\n",
		snapshot.Bundle().Version(), snapshot.Author(), snapshot.Approver(), snapshot.Offset())
	return eris.Wrap(err, "writing the status")
}

func (flags *bundleFlags) history(ctx context.Context, _ []string) error {
	_, events, err := flags.readLog(ctx, flags.part)
	for _, event := range events {
		fmt.Fprintln(flags.stdout, event)
	}
	return err
}
