// Package wal stores the write-ahead log and the newest snapshot of one Raft replica
// of the control log in one folder. Save and SaveSnapshot return after their data is
// synced to disk. A folder holds:
//
//	lock      locked with flock while a process uses the folder
//	log       frames: the identity of the replica, then batches of entries and hard state
//	snapshot  one frame, absent before the first snapshot
//
// Every frame carries checksums of its header and body. Open truncates a torn tail, that
// is, a last frame whose write was interrupted before it was synced. Any other damage to a
// header or body makes Open fail with ErrCorrupt and the path of the file; for the log also
// with the number and the offset of the frame.
package wal
