// Package responsehead refuses HTTP/1.1 responses whose head is malformed. fasthttp accepts some
// of them and changes what they say: it reads status 000 as 200, so a parsed head does not show what
// the target sent. The package checks the bytes themselves, before fasthttp parses them.
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
	stepField
	stepHeadEnd // after CR in the empty line
	stepDone
)

// version is the pattern of a protocol version; # is any digit.
const version = "HTTP/#.#"

// scanner checks the status line of one head as its bytes arrive (RFC 9112, section 4). Fields are
// checked by the parser. The zero value is ready for the first byte.
type scanner struct {
	step    step
	matched int // bytes of the version or digits of the status
	status  int // 100 to 599 once the status has ended
}

// scan checks the next bytes, up to the end of the head. It returns how many of them belong to a
// well-formed head. The error says what is wrong with the byte after them; its cause is
// ErrMalformed.
func (s *scanner) scan(b []byte) (n int, err error) {
	for n < len(b) && s.step != stepDone {
		if s.step == stepReason || s.step == stepField {
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
	case stepNameStart:
		switch c {
		case '\r':
			s.step = stepHeadEnd
		case '\n':
			s.step = stepDone
		default:
			s.step = stepField
		}
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
		if c == '\n' {
			s.step = stepNameStart
		}
		if c == ' ' || c == '\r' || c == '\n' {
			return nil
		}
	}
	return errors.New("the status is not a number of three digits")
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
