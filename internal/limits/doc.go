// Package limits decides how much work each target of one pool may carry.
//
// A target counts as cold until there is evidence that it is warm. Work that
// was started without confirmation never exceeds the cold capacity; all work
// never exceeds the limit, which starts at the cold capacity, grows by one with
// each piece of evidence and drops back at any sign of cold. The package is
// pure: time is an argument, and it must not go back.
package limits
