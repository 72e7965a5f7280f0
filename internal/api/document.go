package api

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"nutmegrouter/internal/routing"
)

// maxDocumentBytes bounds a document after decompression, in bytes.
const maxDocumentBytes = 64 << 20

// PackDocument compresses a document for the control log and for messages
// between instances.
func PackDocument(raw []byte) []byte {
	var out bytes.Buffer
	w, _ := flate.NewWriter(&out, flate.BestSpeed) // fails only on an invalid level
	_, _ = w.Write(raw)                            // a buffer accepts all writes
	_ = w.Close()
	return out.Bytes()
}

// UnpackDocument decompresses the result of PackDocument. It fails if the
// input is corrupt or the document is larger than 64 MiB.
func UnpackDocument(packed []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxDocumentBytes+1))
	if err == nil && len(raw) > maxDocumentBytes {
		err = errors.Errorf("document is larger than %d bytes", maxDocumentBytes)
	}
	return raw, errors.WithMessage(err, "decompress document")
}

// ParseTable parses the document of the view. It returns nil for a view
// without a document, and an error for one that cannot be decompressed or parsed.
func (v *View) ParseTable(d Dialect) (*routing.Table, error) {
	if v.Version == 0 {
		return nil, nil
	}
	raw, err := UnpackDocument(v.Document)
	if err != nil {
		return nil, err
	}
	return d.ParseConfig(raw)
}
