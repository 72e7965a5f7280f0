package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/adminapi"
	"nutmegrouter/internal/api"
)

// pollInterval is the time between two polls for a revision in force, and between two
// attempts to submit a change.
const pollInterval = 200 * time.Millisecond

// maxConfigBytes is the largest configuration that apply and check read. Instances
// accept no larger change.
const maxConfigBytes = adminapi.MaxChangeBytes

func (t *tool) apply(args []string) error {
	var dryRun bool
	var base uint64
	positional, err := t.subflags("apply", args, 1, 1, func(fs *flag.FlagSet) {
		fs.BoolVar(&dryRun, "dry-run", false, "print the differences from the configuration in force and change nothing")
		fs.Uint64Var(&base, "base", 0, "`revision` that the change is based on (default: the one in force)")
	})
	if err != nil {
		return err
	}
	cfg, err := t.readConfig(positional[0])
	if err != nil {
		return err
	}
	ctx, cancel := t.context()
	defer cancel()
	view, err := t.client.View(ctx)
	if err != nil {
		return err
	}
	if dryRun {
		return t.printDiff(view, cfg)
	}
	if base == 0 {
		base = view.Revision
	}
	return t.submit(ctx, api.Submission{BaseRevision: base, Config: cfg})
}

func (t *tool) check(args []string) error {
	positional, err := t.subflags("check", args, 1, 1, nil)
	if err != nil {
		return err
	}
	cfg, err := t.readConfig(positional[0])
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s: ok, fleet %s: %d workspaces, %d pools, %d targets\n",
		positional[0], cfg.Fleet, len(cfg.Workspaces), len(cfg.Pools), len(cfg.Targets))
	return nil
}

// readConfig reads and validates a configuration; path "-" means standard input.
func (t *tool) readConfig(path string) (*fleetconfig.Config, error) {
	in := t.in
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, &exitError{exitUsage, errors.Wrap(err, "read configuration")}
		}
		defer f.Close()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxConfigBytes+1))
	if err != nil {
		return nil, &exitError{exitUsage, errors.Wrap(err, "read configuration")}
	}
	if len(data) > maxConfigBytes {
		return nil, usageError("%s: configuration is larger than %d bytes", path, maxConfigBytes)
	}
	cfg, err := fleetconfig.Parse(data)
	if err != nil {
		return nil, &exitError{exitUsage, errors.WithMessage(err, path)}
	}
	return cfg, nil
}

func (t *tool) printDiff(view api.View, cfg *fleetconfig.Config) error {
	changes := fleetconfig.Diff(view.Config, cfg)
	if t.json {
		return t.printJSON(map[string]any{"base": view.Revision, "changes": changes})
	}
	fmt.Fprintf(t.out, "against revision %d: %d changes\n", view.Revision, len(changes))
	for _, c := range changes {
		fmt.Fprintln(t.out, c)
	}
	return nil
}

// setDataCentre implements the commands "out" and "back" (name), which take one
// argument, a data centre.
func (t *tool) setDataCentre(args []string, name string, out bool) error {
	positional, err := t.subflags(name, args, 1, 1, nil)
	if err != nil {
		return err
	}
	ctx, cancel := t.context()
	defer cancel()
	view, err := t.client.View(ctx)
	if err != nil {
		return err
	}
	return t.submit(ctx, api.Submission{BaseRevision: view.Revision, DataCentre: positional[0], Out: out})
}

func (t *tool) takeOut(args []string) error   { return t.setDataCentre(args, "out", true) }
func (t *tool) bringBack(args []string) error { return t.setDataCentre(args, "back", false) }

// submit submits a change and, unless -no-wait is given, waits until it is in force. All
// attempts carry the same change id, so that a retry has no further effect.
func (t *tool) submit(ctx context.Context, s api.Submission) error {
	s.ChangeID, s.Author = t.changeID, t.author
	if s.ChangeID == "" {
		s.ChangeID = newChangeID()
	}
	res, err := t.submitWithRetry(ctx, s)
	if err != nil {
		return &exitError{exitUnknown, errors.WithMessagef(err,
			"outcome unknown; resend with -change-id %s -base %d", s.ChangeID, s.BaseRevision)}
	}
	switch {
	case res.ConflictingChange != "":
		return &exitError{exitConflict, errors.Errorf("refused: change %s won (revision %d); nothing was changed", res.ConflictingChange, res.Revision)}
	case res.Error != "":
		return &exitError{exitUsage, errors.Errorf("refused: %s; nothing was changed", res.Error)}
	}
	if !t.noWait {
		if err := t.waitInForce(ctx, res.Revision); err != nil {
			return err
		}
	}
	if t.json {
		return t.printJSON(map[string]any{"change_id": s.ChangeID, "revision": res.Revision, "in_force": !t.noWait})
	}
	fmt.Fprintf(t.out, "revision %d accepted%s (change %s)\n", res.Revision, inForceText(!t.noWait), s.ChangeID)
	return nil
}

func inForceText(inForce bool) string {
	if inForce {
		return " and in force everywhere"
	}
	return ""
}

// submitWithRetry submits a change until its outcome is known or ctx expires. It retries
// after connection errors and 5xx statuses, because the change may have been accepted.
func (t *tool) submitWithRetry(ctx context.Context, s api.Submission) (api.SubmitResult, error) {
	for {
		res, err := t.client.Submit(ctx, s)
		var status *adminapi.StatusError
		if err == nil || errors.As(err, &status) && status.Code < 500 {
			return res, err
		}
		select {
		case <-ctx.Done():
			return res, err
		case <-time.After(pollInterval):
		}
	}
}

// newChangeID returns a random change id of 64 bits in hexadecimal.
func newChangeID() string {
	data := make([]byte, 8)
	_, _ = rand.Read(data) // crypto/rand.Read never returns an error
	return hex.EncodeToString(data)
}

func (t *tool) wait(args []string) error {
	positional, err := t.subflags("wait", args, 0, 1, nil)
	if err != nil {
		return err
	}
	ctx, cancel := t.context()
	defer cancel()
	revision, err := t.revisionArg(ctx, positional)
	if err != nil {
		return err
	}
	if err := t.waitInForce(ctx, revision); err != nil {
		return err
	}
	if t.json {
		return t.printJSON(adminapi.InForce{Revision: revision, InForce: true})
	}
	fmt.Fprintf(t.out, "revision %d is in force everywhere\n", revision)
	return nil
}

// revisionArg returns the revision given as an argument or, without one, the revision in
// force on the first instance that responds.
func (t *tool) revisionArg(ctx context.Context, positional []string) (uint64, error) {
	if len(positional) == 1 {
		revision, err := strconv.ParseUint(positional[0], 10, 64)
		if err != nil || revision == 0 {
			return 0, usageError("revision wants a number from 1, got %q", positional[0])
		}
		return revision, nil
	}
	view, err := t.client.View(ctx)
	if err == nil && view.Revision == 0 {
		err = errors.New("the fleet has no configuration yet")
	}
	return view.Revision, err
}

// waitInForce polls until a revision is in force on every instance that may dispatch
// work. If ctx expires first, the error names the instances that still lack it.
func (t *tool) waitInForce(ctx context.Context, revision uint64) error {
	for {
		res, err := t.client.InForce(ctx, revision)
		if err == nil && res.InForce {
			return nil
		}
		select {
		case <-ctx.Done():
			return &exitError{exitUnknown, errors.Errorf("revision %d is not in force everywhere yet, waiting for %v", revision, res.WaitingInstances)}
		case <-time.After(pollInterval):
		}
	}
}
