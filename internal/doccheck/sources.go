package doccheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// Sources returns the text by path of the Go files below a folder for which include
// returns true. It fails on the first file or folder that cannot be read.
func Sources(dir string, include func(path string) bool) (map[string]string, error) {
	out := map[string]string{}
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || !include(path) {
			return err
		}
		raw, err := os.ReadFile(path)
		out[path] = string(raw)
		return err
	})
	return out, err
}
