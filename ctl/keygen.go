package ctl

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"os"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionsill.org/manifest"
)

const keyFileMode = 0o600

func (t *tool) keygenCommand() *ffcli.Command {
	var output outputFlag
	set := t.flagSet("keygen")
	output.register(set)
	id := set.String("id", "", "the key's id")
	return t.command(set, "FILE", "write a new signing key to FILE and print its public half", 1, 1,
		func(_ context.Context, args []string) error {
			if err := output.check(); err != nil {
				return err
			}
			if !manifest.ValidKeyID(*id) {
				return usageError("--id %q: an id has up to 63 letters, digits, - and _", *id)
			}
			return t.keygen(output.format, *id, args[0])
		})
}

func (t *tool) keygen(format, id, path string) error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return errors.Trace(err)
	}
	if err := writeNewFile(path, manifest.FormatPrivateKey(id, private)+"\n"); err != nil {
		return err
	}
	text := manifest.FormatPublicKey(id, public)
	if format == outputJSON {
		return t.printJSON(struct {
			Public string `json:"public"`
		}{text})
	}
	_, err = fmt.Fprintln(t.stdout, text)
	return errors.Trace(err)
}

// writeNewFile creates a file and fails if it exists: an old key may be the only one
// whose signatures are accepted.
func writeNewFile(path, text string) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = file.WriteString(text)
	return errors.Trace(firstError(err, file.Close()))
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
