// Package verdictless is test data for the check of errors without verdicts: each
// function but good and goodNew returns such an error in a different way.
package verdictless

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/currantwinch/currantwinch/verdict"
)

var errPlain = errors.New("plain")

func direct(r io.Reader) error {
	_, err := io.ReadAll(r)
	return err
}

func variable() error { return errPlain }

func wrapped(r io.Reader) error {
	_, err := io.ReadAll(r)
	return fmt.Errorf("read: %w", err)
}

func reassigned(r io.Reader) error {
	err := good(r)
	if err == nil {
		_, err = io.ReadAll(r)
	}
	return err
}

func shadowed(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return nil
}

func named(r io.Reader) (n int, err error) {
	n, err = r.Read(nil)
	return
}

func literal(r io.Reader) func() error {
	return func() error {
		_, err := io.ReadAll(r)
		return err
	}
}

func made() error { return errors.New("made") }

func good(r io.Reader) error {
	_, err := io.ReadAll(r)
	return verdict.Wrap(err, verdict.MayHaveRun, "read")
}

func goodNew(r io.Reader) (int, error) {
	if err := good(r); err != nil {
		return 0, err
	}
	return 0, verdict.New(verdict.NotRun, "new", "new")
}

var _ = []any{direct, variable, wrapped, reassigned, shadowed, named, literal, made, goodNew}
