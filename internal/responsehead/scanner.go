// Package responsehead refuses HTTP/1.1 responses whose head is malformed. fasthttp accepts some
// of them and changes what they say: it reads status 000 as 200, keeps field names with blanks and
// drops a transfer coding in HTTP/1.0, so a parsed head does not show what the target sent. The
// package checks the bytes themselves, before fasthttp parses them.
package responsehead

import (
	"bytes"

	"github.com/pkg/errors"
)

// ErrMalformed is the cause of the errors of this package that report a malformed head.
var ErrMalformed = errors.New("malformed response head")

// step is the part of a head to which the next byte belongs.
type step int

const (
	stepVersion step = iota // of the protocol; also empty lines before it
	stepStatus
	stepReason
	stepNameStart // of a field, or the empty line that ends the head
	stepName
	stepValue
	stepLineEnd // after CR in the status line
	stepHeadEnd // after CR in the empty line
	stepDone
)

// Patterns of protocol versions; # is any digit.
const (
	version = "HTTP/#.#"
	http11  = "HTTP/1.1"
)

// transferEncoding is the name of the field that announces chunks.
const transferEncoding = "transfer-encoding"

// maxKeptName is the length up to which a field's name is kept, to compare it and for errors.
const maxKeptName = 40 // bytes

// scanner checks the bytes of one head as they arrive. It checks the status line (RFC 9112,
// section 4) and the names of fields (sections 5 and 6.1). Values are checked by the parser. The
// zero value is ready for the first byte.
type scanner struct {
	step    step
	matched int // bytes of the version or digits of the status
	status  int // 100 to 599 once the status has ended
	// otherVersion reports that the version is not HTTP/1.1.
	otherVersion bool

	name       [maxKeptName]byte // beginning of the current field's name
	nameLength int               // bytes used in name
}

// scan checks the next bytes, up to the end of the head. It returns how many of them belong to a
// well-formed head. The error says what is wrong with the byte after them; its cause is
// ErrMalformed.
func (s *scanner) scan(b []byte) (n int, err error) {
	for n < len(b) && s.step != stepDone {
		if s.step == stepValue {
			end := bytes.IndexByte(b[n:], '\n')
			if end < 0 {
				return len(b), nil
			}
			n += end + 1
			s.step = stepNameStart
			continue
		}
		if err := s.next(b[n]); err != nil {
			return n, errors.WithMessage(ErrMalformed, err.Error())
		}
		n++
	}
	return n, nil
}

// ended reports whether the head has ended.
func (s *scanner) ended() bool { return s.step == stepDone }

// interim reports whether the head is that of an interim response, which another head follows.
// Status 101 ends the exchange.
func (s *scanner) interim() bool { return s.status < 200 && s.status != 101 }

func (s *scanner) next(c byte) error {
	switch s.step {
	case stepVersion:
		return s.nextOfVersion(c)
	case stepStatus:
		return s.nextOfStatus(c)
	case stepReason:
		return s.nextOfReason(c)
	case stepLineEnd:
		if c != '\n' {
			return errors.New("carriage return in the status line")
		}
		s.step = stepNameStart
	case stepNameStart, stepName:
		return s.nextOfName(c)
	case stepHeadEnd:
		if c != '\n' {
			return errors.New("carriage return at the start of a field")
		}
		s.step = stepDone
	}
	return nil
}

func (s *scanner) nextOfVersion(c byte) error {
	if s.matched == 0 && (c == '\r' || c == '\n') {
		return nil
	}
	if s.matched == len(version) {
		if c != ' ' {
			return errors.New("the protocol version is not followed by a blank")
		}
		s.step, s.matched = stepStatus, 0
		return nil
	}
	if want := version[s.matched]; c != want && (want != '#' || !isDigit(c)) {
		return errors.New("no protocol version")
	}
	s.otherVersion = s.otherVersion || c != http11[s.matched]
	s.matched++
	return nil
}

func (s *scanner) nextOfStatus(c byte) error {
	switch {
	case s.matched == 0 && c == ' ':
		return nil // the parser accepts several blanks
	case isDigit(c) && s.matched < 3:
		s.status = s.status*10 + int(c-'0')
		s.matched++
		if s.matched == 3 && (s.status < 100 || s.status > 599) {
			return errors.Errorf("status %03d", s.status)
		}
		return nil
	case s.matched == 3:
		s.step = stepReason
		if c == ' ' {
			return nil
		}
		if c == '\r' || c == '\n' {
			return s.nextOfReason(c)
		}
	}
	return errors.New("the status is not a number of three digits")
}

func (s *scanner) nextOfReason(c byte) error {
	switch {
	case c == '\r':
		s.step = stepLineEnd
	case c == '\n':
		s.step = stepNameStart
	case c < ' ' && c != '\t' || c == 0x7f:
		return errors.Errorf("control byte 0x%02x in the reason", c)
	}
	return nil
}

// nextOfName refuses any blank in or beside a name. One before the colon can be a damaged name, and a
// line that begins with a blank can be a field of its own or a continued value, which RFC 9112 no
// longer allows. It also refuses a transfer coding before HTTP/1.1 (RFC 9112, section 6.1), which
// fasthttp ignores.
func (s *scanner) nextOfName(c byte) error {
	switch {
	case isTokenByte(c):
		if s.step == stepNameStart {
			s.step, s.nameLength = stepName, 0
		}
		if s.nameLength < maxKeptName {
			s.name[s.nameLength] = c
			s.nameLength++
		}
		return nil
	case s.step == stepName && c == ':':
		if s.otherVersion && bytes.EqualFold(s.name[:s.nameLength], []byte(transferEncoding)) {
			return errors.New("a transfer coding in a version other than HTTP/1.1")
		}
		s.step = stepValue
		return nil
	case s.step == stepName:
		return errors.Errorf("byte 0x%02x in or after the field name %q", c, string(s.name[:s.nameLength]))
	case c == '\r':
		s.step = stepHeadEnd
		return nil
	case c == '\n':
		s.step = stepDone
		return nil
	}
	return errors.Errorf("a field line begins with byte 0x%02x", c)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// tokenBytes has the bytes of which names of fields consist (RFC 9110, section 5.6.2).
var tokenBytes = func() (t [256]bool) {
	for c := range t {
		t[c] = c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		t[c] = true
	}
	return t
}()

func isTokenByte(c byte) bool { return tokenBytes[c] }
