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
	// signatureSuffix is appended to the name of a bundle file to name the file with its signatures.
	signatureSuffix = ".sig"
	pemPrivateKey   = "PRIVATE KEY"
	publishTimeout  = 30 * time.Second
)

// bundleFlags holds the flags of all bundle subcommands; each subcommand defines only those that it uses.
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

// bundleSubcommand describes one subcommand of hyssoplift bundle.
type bundleSubcommand struct {
	name, arguments, help string
	flags                 []string // names of the flags that it takes
	fileCount             int
	exec                  func(flags *bundleFlags, ctx context.Context, files []string) error
}

func newBundle(stdout, stderr io.Writer) *ffcli.Command {
	subcommands := []bundleSubcommand{
		{"lint", "FILE", "check FILE for errors and warnings; with --log, also against the bundle in force", []string{"log", "bundle-keys"}, 1, (*bundleFlags).lint},
		{"diff", "OLD NEW", "print the changes between two bundle files", nil, 2, (*bundleFlags).diff},
		{"keygen", "FILE", "write a private key to FILE and print its public key", []string{"name"}, 1, (*bundleFlags).keygen},
		{"sign", "FILE", "sign FILE as its author", []string{"name", "key"}, 1, (*bundleFlags).sign},
		{"approve", "FILE", "sign FILE as its approver", []string{"name", "key", "bundle-keys"}, 1, (*bundleFlags).approve},
		{"publish", "FILE", "publish FILE and wait until it or another bundle is in force", []string{"log", "bundle-keys", "timeout"}, 1, (*bundleFlags).publish},
		{"status", "", "print the bundle in force", []string{"log", "bundle-keys", "part"}, 0, (*bundleFlags).status},
		{"history", "", "print every bundle record in the log", []string{"log", "bundle-keys", "part"}, 0, (*bundleFlags).history},
	}
	command := &ffcli.Command{
		Name:       "bundle",
		ShortUsage: "hyssoplift bundle <subcommand> [flags] [files]",
		ShortHelp:  "check, sign and publish bundles",
		FlagSet:    flag.NewFlagSet("bundle", flag.ContinueOnError),
		Exec:       func(context.Context, []string) error { return flag.ErrHelp },
	}
	command.FlagSet.SetOutput(stderr)
	for _, subcommand := range subcommands {
		command.Subcommands = append(command.Subcommands, subcommand.command(stdout, stderr))
	}
	return command
}

func (subcommand bundleSubcommand) command(stdout, stderr io.Writer) *ffcli.Command {
	flags := &bundleFlags{set: flag.NewFlagSet(subcommand.name, flag.ContinueOnError), stdout: stdout}
	flags.set.SetOutput(stderr)
	for _, name := range subcommand.flags {
		flags.defineFlag(name)
	}
	return &ffcli.Command{
		Name:       subcommand.name,
		ShortUsage: "hyssoplift bundle " + subcommand.name + " [flags] " + subcommand.arguments,
		ShortHelp:  subcommand.help,
		FlagSet:    flags.set,
		Options:    []ff.Option{ff.WithEnvVarPrefix("HYSSOPLIFT")},
		Exec: func(ctx context.Context, files []string) error {
			if len(files) != subcommand.fileCount {
				return eris.Errorf("bundle %s: got %d files, want %d: %s", subcommand.name, len(files), subcommand.fileCount, subcommand.arguments)
			}
			return subcommand.exec(flags, ctx, files)
		},
	}
}

func (flags *bundleFlags) defineFlag(name string) {
	switch name {
	case "log":
		flags.set.StringVar(&flags.log, name, "", "address of the platform's log service, host:port")
	case "bundle-keys":
		flags.set.StringVar(&flags.keys, name, "", "value of the instances' setting bundle-keys, NAME:KEY,NAME:KEY")
	case "name":
		flags.set.StringVar(&flags.name, name, "", "operator's name in bundle-keys")
	case "key":
		flags.set.StringVar(&flags.key, name, "", "file with the operator's private key")
	case "part":
		flags.set.StringVar(&flags.part, name, "", "split failure domain whose part to read; empty means the common part")
	case "timeout":
		flags.set.DurationVar(&flags.timeout, name, publishTimeout, "time limit for the outcome")
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
	hasErrors := false
	for _, finding := range findings {
		fmt.Fprintln(flags.stdout, finding)
		hasErrors = hasErrors || finding.Severity() == bundler.SeverityError
	}
	if hasErrors {
		return eris.New("lint found errors in the bundle")
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
		return eris.New("--name is required")
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return eris.Wrap(err, "generating a key")
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return eris.Wrap(err, "encoding the key")
	}
	// An existing key file is never overwritten, because it may be the only copy of the key.
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

// signer returns a signer with the name and the private key that the flags give.
func (flags *bundleFlags) signer() (bundler.Signer, error) {
	if flags.name == "" || flags.key == "" {
		return bundler.Signer{}, eris.New("--name and --key are required")
	}
	text, err := os.ReadFile(flags.key)
	if err != nil {
		return bundler.Signer{}, eris.Wrap(err, "reading the key file")
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != pemPrivateKey {
		return bundler.Signer{}, eris.Errorf("%s is not a PEM file with a PKCS #8 private key", flags.key)
	}
	decoded, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return bundler.Signer{}, eris.Wrapf(err, "decoding the key in %s", flags.key)
	}
	key, ok := decoded.(ed25519.PrivateKey)
	if !ok {
		return bundler.Signer{}, eris.Errorf("the key in %s is not an Ed25519 key", flags.key)
	}
	return bundler.NewSigner(flags.name, key), nil
}

func (flags *bundleFlags) parseKeys() (bundler.Keys, error) {
	if flags.keys == "" {
		return bundler.Keys{}, eris.New("--bundle-keys is required")
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

// writeSignatures writes the record beside the bundle file, without the text of the bundle.
func writeSignatures(file string, record bundler.Record) error {
	record.Text = ""
	data, err := record.Encode()
	if err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(file+signatureSuffix, append(data, '\n'), 0o644), "writing the signatures")
}

// readRecord returns a record with the text of the bundle file and the signatures written beside it.
func readRecord(file string) (bundler.Record, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return bundler.Record{}, eris.Wrap(err, "reading the bundle file")
	}
	data, err := os.ReadFile(file + signatureSuffix)
	if err != nil {
		return bundler.Record{}, eris.Wrap(err, "reading the signatures (sign the bundle first)")
	}
	record, err := bundler.DecodeRecord(bytes.TrimSuffix(data, []byte("\n")))
	record.Text = string(text)
	return record, err
}

// findings returns the lint findings for bundle. With --log, they include conflicts with the bundles in force: a split
// failure domain's part is checked against the common part, and the common part against all parts.
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

// bundleInForce returns the bundle of part that is in force according to the log, or nil if the log proves none.
func (flags *bundleFlags) bundleInForce(ctx context.Context, part string) (*bundler.Bundle, error) {
	partBundler, _, err := flags.readLog(ctx, part)
	if err != nil || partBundler.Snapshot() == nil {
		return nil, err
	}
	return partBundler.Snapshot().Bundle(), nil
}

// readLog returns a bundler that has read the stream of part to its end, and an event for each record.
func (flags *bundleFlags) readLog(ctx context.Context, part string) (*bundler.Bundler, []bundler.Event, error) {
	if flags.log == "" {
		return nil, nil, eris.New("--log is required")
	}
	keys, err := flags.parseKeys()
	if err != nil {
		return nil, nil, err
	}
	partBundler := bundler.NewPart(keys, part)
	events, err := readToEnd(ctx, appender.New(flags.log), partBundler)
	return partBundler, events, err
}

func (flags *bundleFlags) status(ctx context.Context, _ []string) error {
	partBundler, _, err := flags.readLog(ctx, flags.part)
	if err != nil {
		return err
	}
	snapshot := partBundler.Snapshot()
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
