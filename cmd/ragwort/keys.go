package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"ragwortpond.example/ragwortpond/keys"
)

// Prefixes make the kind of a secret recognizable.
const (
	prefixAccount  = "rwk_"
	prefixOperator = "rwo_"
	prefixContext  = "rwc_"
)

const (
	secretFileMode = 0o600
	publicFileMode = 0o644
	directoryMode  = 0o700
)

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "create a development authority, router certificates, account keys and operator tokens",
		Commands: []*cli.Command{
			{
				Name: "authority", Usage: "create a self-signed authority for development",
				Flags: []cli.Flag{dirFlag()}, Action: createAuthority,
			},
			{
				Name: "router", Usage: "issue a certificate for a router", ArgsUsage: "ID HOST...",
				Flags: []cli.Flag{dirFlag()}, Action: issueRouterCertificate,
			},
			secretCommand("account", "create a key for a client account", prefixAccount, "key_hashes"),
			secretCommand("operator", "create a token for an operator", prefixOperator, "token_hash"),
			{
				Name: "context", Usage: "create a key for context tokens", Flags: []cli.Flag{outputFlag()}, Action: createContextKey,
			},
		},
	}
}

func dirFlag() cli.Flag {
	return &cli.StringFlag{Name: "dir", Value: "keys", Usage: "`DIR` of the authority and the certificates"}
}

func createAuthority(_ context.Context, cmd *cli.Command) error {
	dir := cmd.String("dir")
	if _, err := os.Stat(filepath.Join(dir, "authority.key")); err == nil {
		return cli.Exit("keys: "+dir+" already has an authority", exitBadInput)
	}
	a, err := keys.NewAuthority("ragwortpond development")
	if err != nil {
		return err
	}
	return writePair(dir, "authority", a.KeyPair())
}

func issueRouterCertificate(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() < 2 {
		return cli.Exit("keys router takes ID HOST...", exitBadInput)
	}
	dir := cmd.String("dir")
	cert, err := os.ReadFile(filepath.Join(dir, "authority.crt"))
	if err != nil {
		return cli.Exit(err, exitBadInput)
	}
	key, err := os.ReadFile(filepath.Join(dir, "authority.key"))
	if err != nil {
		return cli.Exit(err, exitBadInput)
	}
	a, err := keys.LoadAuthority(keys.KeyPair{Cert: cert, Key: key})
	if err != nil {
		return cli.Exit(err, exitBadInput)
	}
	id := cmd.Args().First()
	pair, err := a.Issue(id, cmd.Args().Tail())
	if err != nil {
		return err
	}
	return writePair(dir, id, pair)
}

// writePair writes NAME.key and NAME.crt.
func writePair(dir, name string, pair keys.KeyPair) error {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, name+".key"), pair.Key, secretFileMode); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name+".crt"), pair.Cert, publicFileMode)
}

// secret is a new secret with the hash that goes into the settings.
type secret struct {
	Secret string `json:"secret"`
	Hash   string `json:"hash"`
}

func secretCommand(name, usage, prefix, member string) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, Flags: []cli.Flag{outputFlag()},
		Description: "Prints the secret, which is not stored anywhere, and its hash for " + member + ".",
		Action: func(_ context.Context, cmd *cli.Command) error {
			text, err := keys.NewSecret(prefix)
			if err != nil {
				return err
			}
			s := secret{Secret: text, Hash: keys.Hash(text)}
			return printResult(cmd, s, func(w io.Writer) {
				fmt.Fprintf(w, "secret\t%s\n%s\t%s\n", s.Secret, member, s.Hash)
			})
		},
	}
}

func createContextKey(_ context.Context, cmd *cli.Command) error {
	text, err := keys.NewSecret(prefixContext)
	if err != nil {
		return err
	}
	return printResult(cmd, map[string]string{"secret": text}, func(w io.Writer) { fmt.Fprintf(w, "secret\t%s\n", text) })
}
