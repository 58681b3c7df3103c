package command

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"

	"godwityoke.example/godwityoke/internal/bundle"
)

const (
	// privateKeyPEMType is the PEM block type of a private key in PKCS #8.
	privateKeyPEMType = "PRIVATE KEY"
	// privateKeyFileMode lets only the owner access the private key.
	privateKeyFileMode = 0o600
	// signatureFileMode lets all users read the signature file.
	signatureFileMode = 0o644
)

var (
	errNotPrivateKey     = errors.New("not an ed25519 private key in PEM")
	errSignatureMismatch = errors.New("the file of signatures is for other content or another version")
)

// BundleKeygenArguments are the arguments of "bundle keygen".
type BundleKeygenArguments struct {
	Name string `arg:"--name,required" help:"name of the operator key in the settings (operators.keys)"`
	Out  string `arg:"--out,required" help:"file to write the private key to; it must not exist yet"`
}

func (a *BundleKeygenArguments) run(output Output) int {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return output.fail(err)
	}
	if err := writeKey(a.Out, private); err != nil {
		return output.fail(err)
	}
	entry := struct {
		Name    string `json:"name"`
		Ed25519 string `json:"ed25519"`
	}{a.Name, base64.StdEncoding.EncodeToString(public)}
	text, err := json.Marshal(entry)
	if err != nil {
		return output.fail(err)
	}
	_, _ = fmt.Fprintf(output.Out, "%s\n", text)
	return ExitOK
}

// writeKey writes key to a new file in PEM. It fails if the file exists.
func writeKey(file string, key ed25519.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode the key: %w", err)
	}
	out, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateKeyFileMode)
	if err != nil {
		return fmt.Errorf("key file: %w", err)
	}
	if err := pem.Encode(out, &pem.Block{Type: privateKeyPEMType, Bytes: der}); err != nil {
		_ = out.Close()
		return fmt.Errorf("key file: %w", err)
	}
	return out.Close()
}

// readKey reads an ed25519 private key in PEM. The error wraps errNotPrivateKey if the
// file contains anything else.
func readKey(file string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("key file: %w", err)
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != privateKeyPEMType {
		return nil, fmt.Errorf("%s: %w", file, errNotPrivateKey)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", file, errNotPrivateKey, err)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("%s: %w", file, errNotPrivateKey)
	}
	return key, nil
}

// signatureFile is the content of a signature file: the signatures of the bundle with
// Digest as Version.
type signatureFile struct {
	Version    uint64             `json:"version"`
	Digest     string             `json:"digest"`
	Signatures []bundle.Signature `json:"signatures"`
}

// signatureFileName returns named, or the default name of the signature file of a bundle
// file if named is empty.
func signatureFileName(file, named string) string {
	if named != "" {
		return named
	}
	return file + ".sig"
}

// readSignatures reads a signature file. The error wraps fs.ErrNotExist if there is none.
func readSignatures(file string) (*signatureFile, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("signatures: %w", err)
	}
	signed := &signatureFile{}
	if err := json.Unmarshal(text, signed); err != nil {
		return nil, fmt.Errorf("signatures: %s: %w", file, err)
	}
	return signed, nil
}

// BundleSignArguments are the arguments of "bundle sign".
type BundleSignArguments struct {
	File       string `arg:"positional,required" help:"bundle file, JSON with comments"`
	Version    uint64 `arg:"--version,required" help:"version number of the bundle: the newest accepted version plus 1"`
	Key        string `arg:"--key,required" help:"private key file written by bundle keygen"`
	Name       string `arg:"--name,required" help:"name of the operator key in the settings (operators.keys)"`
	Signatures string `arg:"--signatures" help:"signature file to add the signature to; created if it does not exist [default: FILE.sig]"`
}

func (a *BundleSignArguments) run(output Output) int {
	content, err := loadCanonical(a.File)
	if err != nil {
		return output.fail(err)
	}
	key, err := readKey(a.Key)
	if err != nil {
		return output.fail(err)
	}
	statement := bundle.Statement{Version: a.Version, Digest: bundle.Digest(content)}
	file := signatureFileName(a.File, a.Signatures)
	if err := addSignature(file, statement, bundle.Sign(statement, a.Name, key)); err != nil {
		return output.fail(err)
	}
	_, _ = fmt.Fprintf(output.Out, "%s: signed by %s as version %d, digest %s\n", file, a.Name, a.Version, statement.Digest)
	return ExitOK
}

// addSignature adds a signature to a signature file and creates the file if it does not
// exist. It replaces an earlier signature by the same key. It fails if the file is for
// another statement.
func addSignature(file string, statement bundle.Statement, signature bundle.Signature) error {
	signed, err := readSignatures(file)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		signed = &signatureFile{Version: statement.Version, Digest: statement.Digest}
	case err != nil:
		return err
	case signed.Version != statement.Version || signed.Digest != statement.Digest:
		return fmt.Errorf("%s: %w; remove it to start over", file, errSignatureMismatch)
	}
	signed.Signatures = slices.DeleteFunc(signed.Signatures, func(old bundle.Signature) bool { return old.Key == signature.Key })
	signed.Signatures = append(signed.Signatures, signature)
	text, err := json.MarshalIndent(signed, "", "  ")
	if err != nil {
		return fmt.Errorf("signatures: %w", err)
	}
	return os.WriteFile(file, append(text, '\n'), signatureFileMode)
}
