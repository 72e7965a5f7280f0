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

// File names.
const (
	lockName     = "lock"
	logName      = "log"
	snapshotName = "snapshot"
	tempSuffix   = ".tmp"
)

// identityBytes is the length of a random identity before encoding. It is short because
// every message carries identities, and sufficient because a group has few of them over
// its lifetime.
const identityBytes = 6

// ErrLocked reports that another process, or another Log, has the folder open. Returned
// errors wrap it.
var ErrLocked = errors.New("wal: folder is in use by another process")

// State is the content of a folder when it is opened.
type State struct {
	// Identity is the random identity of the replica, generated with the log file. A
	// replica whose disk was lost gets a new one.
	Identity  string
	HardState consensus.HardState // last saved term and vote
	Snapshot  consensus.Snapshot  // zero if none
	Entries   []consensus.Entry   // after the snapshot
	// TornBytes is the length of the truncated torn tail, in bytes.
	TornBytes int
}

// Log writes to the log and snapshot of an open folder. It is not safe for concurrent
// use.
type Log struct {
	dir       string
	lock      *os.File
	file      *os.File
	nextFrame uint32 // number of the next frame in the log
	id        string
	writeErr  error // first failed write, returned by all later ones
}

// Open locks a folder and reads its state. It creates the folder, and a log with a new
// identity, if they do not exist. It truncates a torn tail. It returns ErrLocked if the
// folder is in use, ErrCorrupt if a file is damaged or missing, and other errors for
// failed file operations or an unsupported format version.
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
	st, err := l.load()
	if err != nil {
		_ = l.Close()
		return nil, nil, err
	}
	return l, st, nil
}

// lockFolder takes an exclusive lock without waiting. The lock lasts until the file is
// closed or the process ends.
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

// load reads the snapshot and the log, creates the log if the folder is new, and opens
// it for appending.
func (l *Log) load() (*State, error) {
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
			return nil, errors.WithMessagef(ErrCorrupt, "%s is missing although a snapshot exists", l.path(logName))
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
	loaded := len(st.Entries)
	if err := st.trimToSnapshot(); err != nil {
		return nil, errors.WithMessage(err, l.path(logName))
	}
	if len(st.Entries) < loaded {
		// The process ended after it stored a snapshot and before it truncated the log.
		return st, l.rewrite(batchBody(&st.HardState, st.Entries))
	}
	return st, l.openForAppend(end)
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }

// readSnapshot reads the snapshot file into st and reports whether it exists.
func (l *Log) readSnapshot(st *State) (bool, error) {
	raw, err := os.ReadFile(l.path(snapshotName))
	if os.IsNotExist(err) {
		return false, nil
	}
	if err != nil {
		return false, errors.WithMessage(err, "wal: read snapshot")
	}
	// The file was synced before it was renamed, so it cannot be torn.
	body, next, status := readFrame(raw, 0, 1)
	if status != frameComplete || next != len(raw) {
		return false, errors.WithMessagef(ErrCorrupt, "%s: invalid header, checksum or length", l.path(snapshotName))
	}
	s, err := decodeSnapshot(body)
	if err != nil {
		return false, errors.WithMessage(err, l.path(snapshotName))
	}
	st.Snapshot = *s
	return true, nil
}

// readLog decodes a log file into st and returns the offset after its last complete
// frame.
func (l *Log) readLog(raw []byte, st *State) (int, error) {
	end, frames, err := decodeLog(raw, st)
	if err != nil {
		return 0, errors.WithMessagef(err, "%s: frame %d at byte %d", l.path(logName), frames+1, end)
	}
	l.nextFrame = frames + 1
	st.TornBytes = len(raw) - end
	return end, nil
}

// decodeLog decodes the frames of a log file into st. It returns the number of complete
// frames and the offset after the last of them.
func decodeLog(raw []byte, st *State) (end int, frames uint32, err error) {
	for end < len(raw) {
		body, next, status := readFrame(raw, end, frames+1)
		if status == frameTorn && frames > 0 {
			return end, frames, nil
		}
		if status != frameComplete {
			return end, frames, errors.WithMessage(ErrCorrupt, "invalid header or checksum")
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

// create writes the log of a new folder, with a new identity.
func (l *Log) create(st *State) error {
	var raw [identityBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return errors.WithMessage(err, "wal: generate identity")
	}
	l.id = base64.RawURLEncoding.EncodeToString(raw[:])
	st.Identity = l.id
	return l.rewrite(nil)
}

// openForAppend opens the log and truncates it at end, the offset after its last
// complete frame.
func (l *Log) openForAppend(end int) error {
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

// Save appends the hard state, if any, and entries to the log with one write and one
// sync. An entry whose index is in the log replaces that entry and all later ones. After
// an error every later Save and SaveSnapshot fails, because what a failed sync has
// written is unknown; Close and Open the folder again.
func (l *Log) Save(hard *consensus.HardState, entries []consensus.Entry) error {
	if l.writeErr != nil {
		return l.writeErr
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	_, err := l.file.Write(appendFrame(nil, l.nextFrame, batchBody(hard, entries)))
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		l.writeErr = errors.WithMessage(err, "wal: append to log")
		return l.writeErr
	}
	l.nextFrame++
	return nil
}

// SaveSnapshot stores a snapshot and replaces the log by one with only the hard state and
// the given entries, which follow the snapshot. The snapshot is synced before the log is
// replaced. After an error every later Save and SaveSnapshot fails.
func (l *Log) SaveSnapshot(s consensus.Snapshot, hard consensus.HardState, entries []consensus.Entry) error {
	if l.writeErr != nil {
		return l.writeErr
	}
	err := l.replaceFile(snapshotName, appendFrame(nil, 1, snapshotBody(s)))
	if err == nil {
		err = l.rewrite(batchBody(&hard, entries))
	}
	l.writeErr = err
	return err
}

// rewrite replaces the log by one that holds the identity and a batch of records, which
// may be empty.
func (l *Log) rewrite(batch []byte) error {
	b := appendFrame(nil, 1, identityBody(l.id))
	l.nextFrame = 2
	if len(batch) > 0 {
		b = appendFrame(b, 2, batch)
		l.nextFrame = 3
	}
	if err := l.replaceFile(logName, b); err != nil {
		return err
	}
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
	return l.openForAppend(len(b))
}

// replaceFile replaces a file atomically: it writes and syncs a temporary file, renames
// it and syncs the folder.
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

// Close closes the log and releases the lock. Later writes fail. It returns the error of
// closing the lock file.
func (l *Log) Close() error {
	if l.file != nil {
		_ = l.file.Close()
	}
	l.writeErr = errors.New("wal: closed")
	return l.lock.Close()
}
