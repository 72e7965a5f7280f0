package wal

import (
	"crypto/rand"
	"encoding/base64"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"

	"nutmegrouter/internal/consensus"
)

// Names of the files.
const (
	lockName     = "lock"
	logName      = "log"
	snapshotName = "snapshot"
	tempSuffix   = ".tmp"
)

// identityBytes is the length of a random identity. Identities are part of every
// message, and a group sees few of them in its life.
const identityBytes = 6

// ErrLocked reports that another process uses the folder.
var ErrLocked = errors.New("wal: folder is in use by another process")

// State is what a folder holds when it is opened.
type State struct {
	// Identity is the random identity of the disk, made with the folder.
	Identity string
	Hard     consensus.HardState
	Snapshot consensus.Snapshot // zero if none
	Entries  []consensus.Entry  // after the snapshot
	// TornBytes is the length of the torn tail that was cut off.
	TornBytes int
}

// Log is an open folder. It is not safe for concurrent use.
type Log struct {
	dir    string
	lock   *os.File
	file   *os.File
	number uint32 // of the next frame
	id     string
	failed error
}

// Open locks and reads a folder and creates it if it does not exist.
func Open(dir string) (*Log, *State, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, errors.WithMessage(err, "wal: create folder")
	}
	if err := syncFolder(filepath.Dir(filepath.Clean(dir))); err != nil {
		return nil, nil, errors.WithMessage(err, "wal: sync parent folder")
	}
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, nil, err
	}
	l := &Log{dir: dir, lock: lock}
	st, err := l.open()
	if err != nil {
		_ = l.Close()
		return nil, nil, err
	}
	return l, st, nil
}

func lockFolder(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, errors.WithMessage(err, "wal: open lock")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, errors.WithMessage(ErrLocked, dir)
	}
	return f, nil
}

func (l *Log) open() (*State, error) {
	for _, name := range []string{logName, snapshotName} {
		if err := os.Remove(l.path(name + tempSuffix)); err != nil && !os.IsNotExist(err) {
			return nil, errors.WithMessage(err, "wal: remove temporary file")
		}
	}
	st := &State{}
	found, err := l.readSnapshot(st)
	if err != nil {
		return nil, err
	}
	raw, err := os.ReadFile(l.path(logName))
	if os.IsNotExist(err) {
		if found {
			return nil, errors.WithMessagef(ErrCorrupt, "%s is missing beside a snapshot", l.path(logName))
		}
		return st, l.create(st)
	}
	if err != nil {
		return nil, errors.WithMessage(err, "wal: read log")
	}
	end, err := l.readLog(raw, st)
	if err != nil {
		return nil, err
	}
	l.id = st.Identity
	read := len(st.Entries)
	if err := st.join(); err != nil {
		return nil, errors.WithMessage(err, l.path(logName))
	}
	if len(st.Entries) < read {
		// The process ended between storing a snapshot and shortening the log.
		return st, l.rewrite(batchBody(&st.Hard, st.Entries))
	}
	return st, l.reopen(end)
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }

func (l *Log) readSnapshot(st *State) (bool, error) {
	raw, err := os.ReadFile(l.path(snapshotName))
	if os.IsNotExist(err) {
		return false, nil
	}
	if err != nil {
		return false, errors.WithMessage(err, "wal: read snapshot")
	}
	// The file was synced before it got its name, so it cannot be torn.
	body, next, v := readFrame(raw, 0, 1)
	if v != frameWhole || next != len(raw) {
		return false, errors.WithMessagef(ErrCorrupt, "%s: checksum does not match", l.path(snapshotName))
	}
	s, err := decodeSnapshot(body)
	if err != nil {
		return false, errors.WithMessage(err, l.path(snapshotName))
	}
	st.Snapshot = *s
	return true, nil
}

// readLog decodes a log file and returns where its whole frames end.
func (l *Log) readLog(raw []byte, st *State) (int, error) {
	end, frames, err := decodeLog(raw, st)
	if err != nil {
		return 0, errors.WithMessagef(err, "%s: frame %d at byte %d", l.path(logName), frames+1, end)
	}
	l.number = frames + 1
	st.TornBytes = len(raw) - end
	return end, nil
}

func decodeLog(raw []byte, st *State) (end int, frames uint32, err error) {
	for end < len(raw) {
		body, next, v := readFrame(raw, end, frames+1)
		if v == frameTorn && frames > 0 {
			return end, frames, nil
		}
		if v != frameWhole {
			return end, frames, errors.WithMessage(ErrCorrupt, "checksum does not match")
		}
		if frames == 0 {
			st.Identity, err = decodeIdentity(body)
		} else {
			err = st.applyBatch(body)
		}
		if err != nil {
			return end, frames, err
		}
		end, frames = next, frames+1
	}
	if frames == 0 {
		return end, frames, errors.WithMessage(ErrCorrupt, "log is empty")
	}
	return end, frames, nil
}

// create starts the log of an empty folder with a new identity.
func (l *Log) create(st *State) error {
	var raw [identityBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return errors.WithMessage(err, "wal: make identity")
	}
	l.id = base64.RawURLEncoding.EncodeToString(raw[:])
	st.Identity = l.id
	return l.rewrite(nil)
}

// reopen opens the log for appending after its whole frames.
func (l *Log) reopen(end int) error {
	f, err := os.OpenFile(l.path(logName), os.O_RDWR, 0o600)
	if err != nil {
		return errors.WithMessage(err, "wal: open log")
	}
	l.file = f
	if err := f.Truncate(int64(end)); err != nil {
		return errors.WithMessage(err, "wal: truncate torn tail")
	}
	if _, err := f.Seek(int64(end), 0); err != nil {
		return errors.WithMessage(err, "wal: seek")
	}
	return errors.WithMessage(f.Sync(), "wal: sync log")
}

// Save appends the vote, if any, and entries in one write and one sync. After an
// error the log accepts nothing more: what a failed sync leaves is unknown.
func (l *Log) Save(hard *consensus.HardState, entries []consensus.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	_, err := l.file.Write(appendFrame(nil, l.number, batchBody(hard, entries)))
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		l.failed = errors.WithMessage(err, "wal: append to log")
		return l.failed
	}
	l.number++
	return nil
}

// SaveSnapshot stores a snapshot and shortens the log to the vote and the
// entries after it. The snapshot is durable before the log is replaced.
func (l *Log) SaveSnapshot(s consensus.Snapshot, hard consensus.HardState, entries []consensus.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	err := l.replaceFile(snapshotName, appendFrame(nil, 1, snapshotBody(s)))
	if err == nil {
		err = l.rewrite(batchBody(&hard, entries))
	}
	l.failed = err
	return err
}

// rewrite replaces the log by one with the identity and a batch.
func (l *Log) rewrite(batch []byte) error {
	b := appendFrame(nil, 1, identityBody(l.id))
	l.number = 2
	if len(batch) > 0 {
		b = appendFrame(b, 2, batch)
		l.number = 3
	}
	if err := l.replaceFile(logName, b); err != nil {
		return err
	}
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
	return l.reopen(len(b))
}

// replaceFile writes a file under a temporary name, syncs it and renames it.
func (l *Log) replaceFile(name string, data []byte) error {
	temp := l.path(name + tempSuffix)
	if err := writeSynced(temp, data); err != nil {
		return errors.WithMessage(err, "wal: write "+name)
	}
	if err := os.Rename(temp, l.path(name)); err != nil {
		return errors.WithMessage(err, "wal: replace "+name)
	}
	return errors.WithMessage(syncFolder(l.dir), "wal: sync folder")
}

func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}

func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = f.Sync()
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}

// Close releases the files and the lock.
func (l *Log) Close() error {
	if l.file != nil {
		_ = l.file.Close()
	}
	l.failed = errors.New("wal: closed")
	return l.lock.Close()
}
