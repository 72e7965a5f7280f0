// Package wal keeps the log and the newest snapshot of one control replica in
// one folder. What Save and SaveSnapshot have written is durable when they
// return. A folder holds:
//
//	lock      locked while a process uses the folder
//	log       frames: the identity of the disk, then batches of entries and votes
//	snapshot  one frame, absent before the first snapshot
//
// Every frame carries checksums of its header and body. Open truncates a torn
// tail, that is, a last frame whose write was interrupted before it was synced.
// It refuses any other damage with an error that names file and offset.
package wal
