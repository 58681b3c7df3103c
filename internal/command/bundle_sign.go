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
	// keyBlock is the PEM type of a private key in PKCS #8.
	keyBlock = "PRIVATE KEY"
	// privateMode lets only the owner read a private key.
	privateMode = 0o600
	// publicMode lets everybody read a file of signatures.
	publicMode = 0o644
)

var (
	errNotKey       = errors.New("not an ed25519 private key in PEM")
	errOtherContent = errors.New("the file of signatures is for other content or another version")
)

// BundleKeygenArguments are the arguments of "bundle keygen".
type BundleKeygenArguments struct {
	Name string `arg:"--name,required" help:"the operator key's name in the settings"`
	Out  string `arg:"--out,required" help:"file for the private key; it must not exist"`
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

func writeKey(file string, key ed25519.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode the key: %w", err)
	}
	out, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateMode)
	if err != nil {
		return fmt.Errorf("key file: %w", err)
	}
	if err := pem.Encode(out, &pem.Block{Type: keyBlock, Bytes: der}); err != nil {
		_ = out.Close()
		return fmt.Errorf("key file: %w", err)
	}
	return out.Close()
}

func readKey(file string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("key file: %w", err)
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != keyBlock {
		return nil, fmt.Errorf("%s: %w", file, errNotKey)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", file, errNotKey, err)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("%s: %w", file, errNotKey)
	}
	return key, nil
}

// signatureFile holds the signatures of a bundle as one version.
type signatureFile struct {
	Version    uint64             `json:"version"`
	Digest     string             `json:"digest"`
	Signatures []bundle.Signature `json:"signatures"`
}

// signaturesOf returns the file of signatures that belongs to a bundle file
// unless another one was named.
func signaturesOf(file, named string) string {
	if named != "" {
		return named
	}
	return file + ".sig"
}

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
	File       string `arg:"positional,required" help:"bundle file"`
	Version    uint64 `arg:"--version,required" help:"version that the bundle is to become: the newest accepted one plus 1"`
	Key        string `arg:"--key,required" help:"file of the operator's private key"`
	Name       string `arg:"--name,required" help:"the operator key's name in the settings"`
	Signatures string `arg:"--signatures" help:"file that the signature is added to [default: FILE.sig]"`
}

func (a *BundleSignArguments) run(output Output) int {
	content, err := loadContent(a.File)
	if err != nil {
		return output.fail(err)
	}
	key, err := readKey(a.Key)
	if err != nil {
		return output.fail(err)
	}
	statement := bundle.Statement{Version: a.Version, Digest: bundle.Digest(content)}
	file := signaturesOf(a.File, a.Signatures)
	if err := addSignature(file, statement, bundle.Sign(statement, a.Name, key)); err != nil {
		return output.fail(err)
	}
	_, _ = fmt.Fprintf(output.Out, "%s: signed by %s as version %d, digest %s\n", file, a.Name, a.Version, statement.Digest)
	return ExitOK
}

// addSignature adds a signature to a file, which is made when it is missing.
// A new signature of the same key takes the place of the old one.
func addSignature(file string, statement bundle.Statement, signature bundle.Signature) error {
	signed, err := readSignatures(file)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		signed = &signatureFile{Version: statement.Version, Digest: statement.Digest}
	case err != nil:
		return err
	case signed.Version != statement.Version || signed.Digest != statement.Digest:
		return fmt.Errorf("%s: %w; remove it to start anew", file, errOtherContent)
	}
	signed.Signatures = slices.DeleteFunc(signed.Signatures, func(old bundle.Signature) bool { return old.Key == signature.Key })
	signed.Signatures = append(signed.Signatures, signature)
	text, err := json.MarshalIndent(signed, "", "  ")
	if err != nil {
		return fmt.Errorf("signatures: %w", err)
	}
	return os.WriteFile(file, append(text, '\n'), publicMode)
}
