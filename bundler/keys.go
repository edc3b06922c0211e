package bundler

import (
	"crypto/ed25519"
	"encoding/base64"
	"strings"

	"github.com/rotisserie/eris"
)

// Role is the role in which an operator signs a bundle. The role is signed together with the text, so that an author's
// signature cannot be used as an approval.
type Role string

// The roles of a signer.
const (
	// RoleAuthor is the operator who wrote the bundle.
	RoleAuthor Role = "author"
	// RoleApprover is the operator who approved the bundle. It must not be the author.
	RoleApprover Role = "approver"
)

// Keys holds the public keys of the operators who may sign bundles.
type Keys struct{ keys map[string]ed25519.PublicKey }

// ParseKeys parses keys of the form NAME:BASE64,NAME:BASE64. Neither a name nor a key may repeat.
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
		// With two names for one key, a single operator could both write and approve a bundle.
		if owner, ok := owners[string(key)]; ok {
			return Keys{}, eris.Errorf("%q and %q have the same key", owner, name)
		}
		owners[string(key)] = name
		keys.keys[name] = key
	}
	return keys, nil
}

// FormatKey returns the public key of name in the form that ParseKeys accepts.
func FormatKey(name string, key ed25519.PublicKey) string {
	return name + ":" + base64.StdEncoding.EncodeToString(key)
}

// Sign returns the signature of the exact bytes of text in the given role.
func Sign(key ed25519.PrivateKey, role Role, text string) []byte {
	return ed25519.Sign(key, signedBytes(role, text))
}

// Verify returns an error unless signature is the signature of text by name in the given role.
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

// NewSigner returns a signer. The setting bundle-keys must list its public key under name.
func NewSigner(name string, key ed25519.PrivateKey) Signer { return Signer{name: name, key: key} }

// SignAsAuthor returns a record of text, signed by the author but not yet approved. It returns an error if the text
// does not parse.
func (signer Signer) SignAsAuthor(text string) (Record, error) {
	bundle, err := parseText(text)
	if err != nil {
		return Record{}, err
	}
	signature := Sign(signer.key, RoleAuthor, text)
	return Record{Version: bundle.version, Author: signer.name, Signatures: Signatures{Author: signature}, Text: text}, nil
}

// Approve returns the record with the signer's approval. It returns an error unless both signatures match keys.
func (signer Signer) Approve(record Record, keys Keys) (Record, error) {
	record.Approver = signer.name
	record.Signatures.Approver = Sign(signer.key, RoleApprover, record.Text)
	_, err := record.VerifyAndParse(keys)
	return record, err
}
