package bundler

import (
	"crypto/ed25519"
	"encoding/base64"
	"strings"

	"github.com/rotisserie/eris"
)

// Role is the part that a signer has in a bundle. The role is signed along with the text, so that an author's
// signature cannot be presented as an approval.
type Role string

// Roles of a signer.
const (
	// RoleAuthor is the operator who wrote the bundle.
	RoleAuthor Role = "author"
	// RoleApprover is the operator who checked it, and is not its author.
	RoleApprover Role = "approver"
)

// Keys are the public keys of the operators who may sign bundles.
type Keys struct{ keys map[string]ed25519.PublicKey }

// ParseKeys returns the keys in text, written as NAME:BASE64,NAME:BASE64; names and keys must not repeat.
func ParseKeys(text string) (Keys, error) {
	keys := Keys{keys: make(map[string]ed25519.PublicKey)}
	owners := make(map[string]string)
	for entry := range strings.SplitSeq(text, ",") {
		name, encoded, _ := strings.Cut(entry, ":")
		key, err := base64.StdEncoding.DecodeString(encoded)
		if name == "" || err != nil || len(key) != ed25519.PublicKeySize {
			return Keys{}, eris.Errorf("got %q, expected NAME:KEY with an ed25519 public key in base64", entry)
		}
		if _, ok := keys.keys[name]; ok {
			return Keys{}, eris.Errorf("name %q is given twice", name)
		}
		// Under two names, one operator could both write and approve a bundle.
		if owner, ok := owners[string(key)]; ok {
			return Keys{}, eris.Errorf("%q and %q have the same key", owner, name)
		}
		owners[string(key)] = name
		keys.keys[name] = key
	}
	return keys, nil
}

// FormatKey returns the public key of name as ParseKeys reads it.
func FormatKey(name string, key ed25519.PublicKey) string {
	return name + ":" + base64.StdEncoding.EncodeToString(key)
}

// Sign returns the signature of the exact bytes of text in the given role.
func Sign(key ed25519.PrivateKey, role Role, text string) []byte {
	return ed25519.Sign(key, signedBytes(role, text))
}

// Verify returns an error unless signature is that of name over text in the given role.
func (keys Keys) Verify(name string, role Role, text string, signature []byte) error {
	key, ok := keys.keys[name]
	if !ok {
		return eris.Errorf("%s %q has no key in the setting bundle-keys", role, name)
	}
	if !ed25519.Verify(key, signedBytes(role, text), signature) {
		return eris.Errorf("the signature of %s %q does not match the text", role, name)
	}
	return nil
}

func signedBytes(role Role, text string) []byte {
	return []byte("hyssoplift bundle " + string(role) + "\x00" + text)
}

// Signer is an operator with a private key.
type Signer struct {
	name string
	key  ed25519.PrivateKey
}

// NewSigner returns the signer called name in the setting bundle-keys.
func NewSigner(name string, key ed25519.PrivateKey) Signer { return Signer{name: name, key: key} }

// SignAsAuthor returns a record of text that still needs an approver, or an error if the text does not parse.
func (signer Signer) SignAsAuthor(text string) (Record, error) {
	bundle, err := parseText(text)
	if err != nil {
		return Record{}, err
	}
	signature := Sign(signer.key, RoleAuthor, text)
	return Record{Version: bundle.version, Author: signer.name, Signatures: Signatures{Author: signature}, Text: text}, nil
}

// Approve returns the record with the signer's approval, or an error unless keys prove author and approver.
func (signer Signer) Approve(record Record, keys Keys) (Record, error) {
	record.Approver = signer.name
	record.Signatures.Approver = Sign(signer.key, RoleApprover, record.Text)
	_, err := record.Open(keys)
	return record, err
}
