package api

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"nutmegrouter/internal/routing"
)

// maxDocument bounds a document after decompression, in bytes.
const maxDocument = 64 << 20

// PackDocument compresses a document for the log and the links.
func PackDocument(raw []byte) []byte {
	var out bytes.Buffer
	w, _ := flate.NewWriter(&out, flate.BestSpeed) // fails only on an invalid level
	_, _ = w.Write(raw)                            // a buffer accepts all writes
	_ = w.Close()
	return out.Bytes()
}

// UnpackDocument reverses PackDocument.
func UnpackDocument(packed []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxDocument+1))
	if err == nil && len(raw) > maxDocument {
		err = errors.Errorf("document is larger than %d bytes", maxDocument)
	}
	return raw, errors.WithMessage(err, "decompress document")
}

// Table reads the document of the view. A view without one has no table.
func (v *View) Table(d Dialect) (*routing.Table, error) {
	if v.Version == 0 {
		return nil, nil
	}
	raw, err := UnpackDocument(v.Document)
	if err != nil {
		return nil, err
	}
	return d.Document(raw)
}
